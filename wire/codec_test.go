package wire

import (
	"bytes"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// fillRandom sets a value at random. Empty slices and maps stay nil, since the
// encoding does not tell them apart.
func fillRandom(r *rand.Rand, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fillRandom(r, v.Field(i))
			}
		}
	case reflect.Pointer:
		if r.IntN(2) == 0 {
			v.Set(reflect.New(v.Type().Elem()))
			fillRandom(r, v.Elem())
		}
	case reflect.Slice:
		if n := r.IntN(4); n > 0 {
			v.Set(reflect.MakeSlice(v.Type(), n, n))
		}
		for i := range v.Len() {
			fillRandom(r, v.Index(i))
		}
	case reflect.Map:
		if r.IntN(2) == 0 {
			v.Set(reflect.ValueOf(map[string]string{"gpu": "yes", "": "é"}).Convert(v.Type()))
		}
	case reflect.String:
		v.SetString([]string{"", "a", "Ω≠", "x\x00y"}[r.IntN(4)])
	case reflect.Bool:
		v.SetBool(r.IntN(2) == 0)
	case reflect.Float64:
		v.SetFloat(r.NormFloat64() * 1e9)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(r.Uint64()))
	default:
		v.SetUint(r.Uint64() >> r.IntN(64) & (1<<v.Type().Bits() - 1))
	}
}

func randomMessage(t Type, seed uint64) Message {
	m := factories[t]()
	fillRandom(rand.New(rand.NewPCG(seed, uint64(t))), reflect.ValueOf(m).Elem())
	return m
}

// Guards against a field that is lost or changed on the wire, against a frame
// that reads beyond its end, and against a cut frame that is taken for a whole
// one, for every type of message.
func TestMessagesSurviveTheWire(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	for kind := TypeHello; kind <= TypeJobCancel; kind++ { // in order: all share one source of random numbers
		properties.Property(kind.String()+" survives", prop.ForAll(
			func(seed uint64, cut uint16) bool {
				m := randomMessage(kind, seed)
				frame, err := Encode(m)
				if err != nil {
					return false
				}
				r := bytes.NewReader(append(frame, 0xff))
				got, n, err := Read(r)
				if err != nil || n != len(frame) || r.Len() != 1 || !reflect.DeepEqual(m, got) {
					return false
				}
				_, _, err = Read(bytes.NewReader(frame[:int(cut)%len(frame)]))
				return err != nil
			},
			gen.UInt64(), gen.UInt16(),
		))
	}
	properties.TestingRun(t)
}

// Guards against bytes of an unknown peer that panic the decoder, and against a
// type without a factory that is taken for a message.
func TestArbitraryBytesAreDecodedOrRefused(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(2))
	properties.Property("no panic, no unknown type", prop.ForAll(
		func(kind uint8, body []byte) bool {
			m, err := Decode(Type(kind), body)
			if _, known := factories[Type(kind)]; !known {
				return err != nil && m == nil
			}
			return err != nil || m.Type() == Type(kind)
		},
		gen.UInt8(), gen.SliceOf(gen.UInt8()),
	))
	properties.TestingRun(t)
}

// widest records the largest buffer that a reader was asked to fill.
type widest struct {
	r    io.Reader
	most int
}

func (w *widest) Read(p []byte) (int, error) {
	w.most = max(w.most, len(p))
	return w.r.Read(p)
}

// Guards against memory that a peer claims by a length without sending bytes: of
// a frame, of an array, of a text, of nested arrays.
func TestClaimedLengthsAllocateNothing(t *testing.T) {
	header := func(n uint32, kind Type) []byte {
		return append(binary.BigEndian.AppendUint32(nil, n), byte(kind))
	}
	short := &widest{r: bytes.NewReader(header(MaxMessageBytes, TypeOutcome))}
	if _, _, err := Read(short); err == nil || short.most > readChunkBytes {
		t.Errorf("a frame without a body: error %v, buffer of %d bytes", err, short.most)
	}
	if _, _, err := Read(bytes.NewReader(header(MaxMessageBytes+1, TypeOutcome))); err == nil {
		t.Error("a frame over the limit is accepted")
	}
	for name, body := range map[string][]byte{
		"long array":       {0xa1, 0x01, 0x9a, 0x00, 0x00, 0xff, 0xff},
		"array over limit": append([]byte{0xa1, 0x01, 0x9a, 0x00, 0x01, 0x00, 0x01}, bytes.Repeat([]byte{0}, 1<<16+1)...),
		"long bytes":       {0xa1, 0x06, 0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"deep nesting":     append([]byte{0xa1, 0x09}, bytes.Repeat([]byte{0x81}, 1000)...),
		"no end":           {0xbf, 0x01},
		"field twice":      {0xa2, 0x04, 0x60, 0x04, 0x60},
		"two values":       {0xa0, 0xa0},
	} {
		for kind := range factories {
			if _, err := Decode(kind, body); err == nil {
				t.Errorf("%s: %s is accepted", kind, name)
			}
		}
	}
}

// FuzzRead guards against frames that panic, that are read beyond their end, or
// whose message differs after it was sent on.
func FuzzRead(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		m, n, err := Read(bytes.NewReader(data))
		if err != nil {
			return
		}
		if n > len(data) {
			t.Fatalf("%d bytes read of %d", n, len(data))
		}
		frame, err := Encode(m)
		if err != nil {
			t.Fatal(err)
		}
		again, _, err := Read(bytes.NewReader(frame))
		if err != nil {
			t.Fatalf("the message cannot be sent on: %v", err)
		}
		second, err := Encode(again)
		if err != nil || !bytes.Equal(frame, second) && m.Type() != TypeAnnounce { // labels have no order
			t.Fatalf("%x became %x, error %v", frame, second, err)
		}
	})
}

// Guards against a type of message that the fuzz corpus lacks.
func TestCorpusCoversEveryType(t *testing.T) {
	for kind := range factories {
		path := filepath.Join("testdata", "fuzz", "FuzzRead", kind.String())
		if _, err := os.Stat(path); err != nil {
			t.Error(err)
		}
	}
}
