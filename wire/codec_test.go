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

// fillRandom sets v to a random value. Empty slices and maps are left nil, since
// their encoding is the same as that of empty ones.
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

// Guards against a field that is lost or changed in the encoding of any message
// type, a Read that consumes bytes after the frame, and a truncated frame that is
// accepted.
func TestMessagesRoundTrip(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	for kind := TypeHello; kind <= TypeEvacuations; kind++ { // in order: all share one source of random numbers
		properties.Property(kind.String()+" round trip", prop.ForAll(
			func(seed uint64, length uint16) bool {
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
				_, _, err = Read(bytes.NewReader(frame[:int(length)%len(frame)]))
				return err != nil
			},
			gen.UInt64(), gen.UInt16(),
		))
	}
	properties.TestingRun(t)
}

// Guards against a decoder that panics on malformed input or accepts an unknown
// message type.
func TestDecodeArbitraryBytes(t *testing.T) {
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

// bufferRecorder records the size of the largest buffer that was passed to Read.
type bufferRecorder struct {
	r       io.Reader
	largest int
}

func (w *bufferRecorder) Read(p []byte) (int, error) {
	w.largest = max(w.largest, len(p))
	return w.r.Read(p)
}

// Guards against a peer that makes the decoder allocate memory by declaring a large
// length or a deep nesting without sending the bytes.
func TestDeclaredLengthsDoNotAllocate(t *testing.T) {
	header := func(n uint32, kind Type) []byte {
		return append(binary.BigEndian.AppendUint32(nil, n), byte(kind))
	}
	short := &bufferRecorder{r: bytes.NewReader(header(MaxMessageBytes, TypeOutcome))}
	if _, _, err := Read(short); err == nil || short.largest > readChunkBytes {
		t.Errorf("a frame without a body: error %v, buffer of %d bytes", err, short.largest)
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

// FuzzRead guards against frames that make Read panic or report more bytes than there
// are, and against messages that change when they are encoded and decoded again.
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
			t.Fatalf("the message cannot be decoded after encoding: %v", err)
		}
		second, err := Encode(again)
		if err != nil || !bytes.Equal(frame, second) && m.Type() != TypeAnnounce { // the order of labels is random
			t.Fatalf("%x became %x, error %v", frame, second, err)
		}
	})
}

// Guards against a message type without a seed in the fuzz corpus.
func TestCorpusCoversEveryType(t *testing.T) {
	for kind := range factories {
		path := filepath.Join("testdata", "fuzz", "FuzzRead", kind.String())
		if _, err := os.Stat(path); err != nil {
			t.Error(err)
		}
	}
}
