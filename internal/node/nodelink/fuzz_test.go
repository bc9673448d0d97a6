package nodelink

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"

	"sapphirehead/internal/node/nodepb"
)

func FuzzReadMessage(f *testing.F) {
	call := nodepb.Call_builder{Heartbeat: nodepb.Heartbeat_builder{Sender: nodepb.Member_builder{Host: new("entry-1")}.Build()}.Build()}.Build()
	var encoded bytes.Buffer
	_, err := protodelim.MarshalTo(&encoded, call)
	require.NoError(f, err)
	f.Add(encoded.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Fuzz(func(t *testing.T, data []byte) {
		var call nodepb.Call
		if err := readMessage(bytes.NewReader(data), &call); err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		var again bytes.Buffer
		_, err := protodelim.MarshalTo(&again, &call)
		require.NoError(t, err)
		var reply nodepb.Reply
		_ = readMessage(bytes.NewReader(data), &reply)
	})
}
