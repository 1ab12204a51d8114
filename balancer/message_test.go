package balancer_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"example.org/rattanwood"
	"example.org/rattanwood/balancer"
	"example.org/rattanwood/wire"
)

func TestBadMessagesAreRefused(t *testing.T) {
	tests := map[string]*wire.Envelope{
		balancer.ReasonUnknownSender:  {},
		balancer.ReasonEmptyBody:      {Vm: "b", Life: 5},
		balancer.ReasonStale:          {Vm: "b", Life: 4, Body: &wire.Envelope_Beat{Beat: &wire.Beat{Seq: 1}}},
		balancer.ReasonLengthMismatch: {Vm: "b", Life: 5, Body: &wire.Envelope_Told{Told: &wire.Told{Flows: []uint64{1}}}},
	}
	for reason, message := range tests {
		t.Run(reason, func(t *testing.T) {
			c := qt.New(t)
			b := balancer.New(balancer.DefaultConfig("a"))
			beat := &wire.Envelope{Vm: "b", Life: 5, Body: &wire.Envelope_Beat{Beat: &wire.Beat{Seq: 1}}}
			c.Assert(b.HandleMessage(0, addressOf("b"), beat), qt.IsNil)
			var refused *balancer.MessageError
			c.Assert(b.HandleMessage(0, addressOf("b"), message), qt.ErrorAs, &refused)
			c.Assert(refused.Reason, qt.Equals, reason)
		})
	}
}

func FuzzMessage(f *testing.F) {
	for _, e := range []*wire.Envelope{
		{Vm: "b", Life: 1, Body: &wire.Envelope_Beat{Beat: &wire.Beat{Seq: 1, Echo: 1, Held: 1 << 62, Version: 9}}},
		{Vm: "b", Life: 1, Body: &wire.Envelope_Batch{Batch: &wire.Batch{Seq: 1, Flows: []uint64{1}, Upstreams: []uint32{1}, Gone: []uint64{2}}}},
		{Vm: "b", Life: 1, Body: &wire.Envelope_Marks{Marks: &wire.Marks{Marks: []*wire.Mark{{Upstream: 1, State: 9}}}}},
		{Vm: "b", Life: 1, Body: &wire.Envelope_Roster{Roster: &wire.Roster{Members: []*wire.Member{{Vm: "c", Address: "x"}}}}},
		{Vm: "b", Life: 1, Body: &wire.Envelope_Witness{Witness: &wire.Witness{Target: "c", Age: 1 << 63}}},
	} {
		data, err := proto.Marshal(e)
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		e := &wire.Envelope{}
		if proto.Unmarshal(data, e) != nil {
			return
		}
		b := balancer.New(balancer.DefaultConfig("a"))
		b.SetDocument(0, &rattanwood.Document{Version: 1, Services: []rattanwood.Service{newService("board", board, 2)}})
		b.Tick(0)
		_ = b.HandleMessage(time.Millisecond, addressOf("b"), e)
		b.Tick(time.Second)
	})
}
