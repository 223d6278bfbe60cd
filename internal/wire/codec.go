package wire

import (
	"bytes"
	"math"

	"github.com/fxamacker/cbor/v2"

	"postjunction/internal/apierror"
)

const mostNested = 64

var (
	encode = must(cbor.EncOptions{
		Time:      cbor.TimeRFC3339Nano,
		OmitEmpty: cbor.OmitEmptyGoValue,
	}.UserBufferEncMode())
	decode = must(cbor.DecOptions{
		MaxNestedLevels:   mostNested,
		MaxArrayElements:  math.MaxInt32,
		MaxMapPairs:       math.MaxInt32,
		UTF8:              cbor.UTF8DecodeInvalid,
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(apierror.Wrap(apierror.Internal, err, "codec"))
	}
	return v
}

type codec struct{}

func (codec) Name() string { return "cbor" }

func (c codec) Marshal(v any) ([]byte, error) { return c.MarshalAppend(nil, v) }

func (codec) MarshalAppend(b []byte, v any) ([]byte, error) {
	w := bytes.NewBuffer(b)
	err := encode.MarshalToBuffer(v, w)
	return w.Bytes(), err
}

func (codec) Unmarshal(b []byte, v any) error { return decode.Unmarshal(b, v) }

// Marshal gives a task or an answer as it stands between nodes.
func Marshal(v any) ([]byte, error) { return codec{}.MarshalAppend(nil, v) }

// Unmarshal reads a task or an answer as it stands between nodes.
func Unmarshal(b []byte, v any) error { return codec{}.Unmarshal(b, v) }
