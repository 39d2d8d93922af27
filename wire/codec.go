package wire

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Limits of a frame and of the CBOR in its body. MaxMessageBytes fits the largest
// payload or result and the other fields of its message; a longer frame closes the
// link.
const (
	MaxMessageBytes = 5 << 20
	headerBytes     = 5
	maxArrayItems   = 1 << 16
	maxMapPairs     = 1 << 10
	maxNesting      = 8
)

// Error is the class of encoding and framing errors.
var Error = errs.Class("wire")

var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArrayItems,
		MaxMapPairs:      maxMapPairs,
		MaxNestedLevels:  maxNesting,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// factories holds a constructor for every message type.
var factories = map[Type]func() Message{
	TypeHello:           func() Message { return &Hello{} },
	TypeWelcome:         func() Message { return &Welcome{} },
	TypeAnnounce:        func() Message { return &Announce{} },
	TypePeers:           func() Message { return &Peers{} },
	TypeView:            func() Message { return &View{} },
	TypeDemand:          func() Message { return &Demand{} },
	TypeGrant:           func() Message { return &Grant{} },
	TypeRevoke:          func() Message { return &Revoke{} },
	TypeReturn:          func() Message { return &Return{} },
	TypeStart:           func() Message { return &Start{} },
	TypeOutcome:         func() Message { return &Outcome{} },
	TypeAck:             func() Message { return &Ack{} },
	TypeQuery:           func() Message { return &Query{} },
	TypeCancel:          func() Message { return &Cancel{} },
	TypeHeartbeat:       func() Message { return &Heartbeat{} },
	TypeLeave:           func() Message { return &Leave{} },
	TypePeerState:       func() Message { return &PeerState{} },
	TypeDocument:        func() Message { return &Document{} },
	TypeDocumentRequest: func() Message { return &DocumentRequest{} },
	TypeTargetState:     func() Message { return &TargetState{} },
	TypeRoom:            func() Message { return &Room{} },
	TypeRunStart:        func() Message { return &RunStart{} },
	TypeRunEnd:          func() Message { return &RunEnd{} },
	TypeRunStop:         func() Message { return &RunStop{} },
	TypeBacklog:         func() Message { return &Backlog{} },
	TypeJobForward:      func() Message { return &JobForward{} },
	TypeJobAnswer:       func() Message { return &JobAnswer{} },
	TypeJobCancel:       func() Message { return &JobCancel{} },
	TypePlacerState:     func() Message { return &PlacerState{} },
	TypeCrashReport:     func() Message { return &CrashReport{} },
	TypeJobsCancelled:   func() Message { return &JobsCancelled{} },
	TypeCancelReceipt:   func() Message { return &CancelReceipt{} },
	TypeEvacuations:     func() Message { return &Evacuations{} },
}

func (*Hello) Type() Type           { return TypeHello }
func (*Welcome) Type() Type         { return TypeWelcome }
func (*Announce) Type() Type        { return TypeAnnounce }
func (*Peers) Type() Type           { return TypePeers }
func (*View) Type() Type            { return TypeView }
func (*Demand) Type() Type          { return TypeDemand }
func (*Grant) Type() Type           { return TypeGrant }
func (*Revoke) Type() Type          { return TypeRevoke }
func (*Return) Type() Type          { return TypeReturn }
func (*Start) Type() Type           { return TypeStart }
func (*Outcome) Type() Type         { return TypeOutcome }
func (*Ack) Type() Type             { return TypeAck }
func (*Query) Type() Type           { return TypeQuery }
func (*Cancel) Type() Type          { return TypeCancel }
func (*Heartbeat) Type() Type       { return TypeHeartbeat }
func (*Leave) Type() Type           { return TypeLeave }
func (*PeerState) Type() Type       { return TypePeerState }
func (*Document) Type() Type        { return TypeDocument }
func (*DocumentRequest) Type() Type { return TypeDocumentRequest }
func (*TargetState) Type() Type     { return TypeTargetState }
func (*Room) Type() Type            { return TypeRoom }
func (*RunStart) Type() Type        { return TypeRunStart }
func (*RunEnd) Type() Type          { return TypeRunEnd }
func (*RunStop) Type() Type         { return TypeRunStop }
func (*Backlog) Type() Type         { return TypeBacklog }
func (*JobForward) Type() Type      { return TypeJobForward }
func (*JobAnswer) Type() Type       { return TypeJobAnswer }
func (*JobCancel) Type() Type       { return TypeJobCancel }
func (*PlacerState) Type() Type     { return TypePlacerState }
func (*CrashReport) Type() Type     { return TypeCrashReport }
func (*JobsCancelled) Type() Type   { return TypeJobsCancelled }
func (*CancelReceipt) Type() Type   { return TypeCancelReceipt }
func (*Evacuations) Type() Type     { return TypeEvacuations }

// Encode returns the frame of a message: the body's length in four bytes, the
// type in one, then the body in CBOR.
func Encode(m Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(body) > MaxMessageBytes {
		return nil, Error.New("message of type %d is %d bytes long, over the limit of %d", m.Type(), len(body), MaxMessageBytes)
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = byte(m.Type())
	return append(frame, body...), nil
}

// Decode decodes the body of a message of type t.
func Decode(t Type, body []byte) (Message, error) {
	factory, ok := factories[t]
	if !ok {
		return nil, Error.New("unknown message type %d", t)
	}
	m := factory()
	if err := decMode.Unmarshal(body, m); err != nil {
		return nil, Error.Wrap(err)
	}
	return m, nil
}

// Read reads one frame and returns its message and the frame's size in bytes. The
// size is 0 if no whole frame was read.
func Read(r io.Reader) (Message, int, error) { return ReadLimited(r, MaxMessageBytes) }

// ReadLimited is like Read for frames whose body has at most limit bytes.
func ReadLimited(r io.Reader, limit uint32) (Message, int, error) {
	return ReadReserved(r, limit, func(int) error { return nil })
}

// ReadReserved is like ReadLimited. It calls reserve before it allocates bytes for a body, and ends with
// its error.
func ReadReserved(r io.Reader, limit uint32, reserve func(bytes int) error) (Message, int, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, 0, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > limit {
		return nil, 0, Error.New("frame declares a body of %d bytes, over the limit of %d", n, limit)
	}
	body, err := readBody(r, int(n), reserve)
	if err != nil {
		return nil, 0, err
	}
	m, err := Decode(Type(header[4]), body)
	return m, headerBytes + int(n), err
}

// readChunkBytes is the most memory that readBody allocates before any byte is received. It allocates as
// much again as was received, so that a frame's declared length alone cannot exhaust memory.
const readChunkBytes = 64 << 10

func readBody(r io.Reader, n int, reserve func(bytes int) error) ([]byte, error) {
	var body []byte
	for len(body) < n {
		size := min(n, max(readChunkBytes, 2*len(body)))
		if err := reserve(size - len(body)); err != nil {
			return nil, err
		}
		grown := make([]byte, size)
		copy(grown, body)
		if _, err := io.ReadFull(r, grown[len(body):]); err != nil {
			return nil, err
		}
		body = grown
	}
	return body, nil
}
