package inner

import (
	"encoding/binary"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/redwingthread/redwingthread/errkind"
)

// MaxFrameBytes bounds one encoded message. It is large enough for a forwarded body of 8 MB with its headers, and for a
// configuration state of the planned size.
const MaxFrameBytes = 16 << 20

// frameHeaderBytes is the size of the big-endian message length at the start of every frame.
const frameHeaderBytes = 4

// decMode rejects duplicate map keys and bounds the nesting of received messages.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 32}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// writeFrame writes message as one frame and returns the number of bytes written.
func writeFrame(w io.Writer, message any) (int, error) {
	data, err := cbor.Marshal(message)
	if err != nil {
		return 0, errkind.Wrap(err, errkind.Internal, "report this as a bug", "encode message")
	}
	if len(data) > MaxFrameBytes {
		return 0, errkind.New(errkind.TooLarge, "send a smaller body", "message of %d bytes exceeds the limit of %d bytes",
			len(data), MaxFrameBytes)
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	return w.Write(append(frame, data...))
}

// readFrame reads one frame into message and returns the number of bytes read.
func readFrame(r io.Reader, message any) (int, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return frameHeaderBytes, errkind.New(errkind.TooLarge, "check that both ends run compatible versions",
			"frame of %d bytes exceeds the limit of %d bytes", length, MaxFrameBytes)
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return frameHeaderBytes, err
	}
	if err := decMode.Unmarshal(data, message); err != nil {
		return frameHeaderBytes + len(data), errkind.Wrap(err, errkind.BadInput,
			"check that both ends run compatible versions", "decode message")
	}
	return frameHeaderBytes + len(data), nil
}
