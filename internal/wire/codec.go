package wire

import (
	"bytes"
	"math"

	"github.com/fxamacker/cbor/v2"

	"postjunction/internal/apierror"
)

const maxNestedLevels = 64

var (
	encMode = must(cbor.EncOptions{
		Time:      cbor.TimeRFC3339Nano,
		OmitEmpty: cbor.OmitEmptyGoValue,
	}.UserBufferEncMode())
	decMode = must(cbor.DecOptions{
		MaxNestedLevels:   maxNestedLevels,
		MaxArrayElements:  math.MaxInt32,
		MaxMapPairs:       math.MaxInt32,
		UTF8:              cbor.UTF8DecodeInvalid,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode())
)

func must[T any](value T, err error) T {
	if err != nil {
		panic(apierror.Wrap(apierror.Internal, err, "codec"))
	}
	return value
}

type codec struct{}

func (codec) Name() string { return "cbor" }

func (c codec) Marshal(v any) ([]byte, error) { return c.MarshalAppend(nil, v) }

func (codec) MarshalAppend(b []byte, v any) ([]byte, error) {
	buffer := bytes.NewBuffer(b)
	err := encMode.MarshalToBuffer(v, buffer)
	return buffer.Bytes(), err
}

func (codec) Unmarshal(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// Marshal encodes a request or response in the format used between nodes.
func Marshal(v any) ([]byte, error) { return codec{}.MarshalAppend(nil, v) }

// Unmarshal decodes a request or response in the format used between nodes.
func Unmarshal(b []byte, v any) error { return codec{}.Unmarshal(b, v) }
