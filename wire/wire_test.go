package wire_test

import (
	"flag"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/testing/protocmp"
	"google.golang.org/protobuf/types/descriptorpb"

	"example.org/rattanwood/wire"
)

// releasedSchema holds the messages of the build that deploy/system.toml names as the one in production.
const releasedSchema = "testdata/released.binpb"

var release = flag.Bool("release", false, "write the schema of the messages as the released one")

// TestMessagesOfReleasedBuild compares the messages with those of the build in production, beside which this one runs
// during an upgrade. A field that either build writes must mean the same to the other.
func TestMessagesOfReleasedBuild(t *testing.T) {
	c := qt.New(t)
	present := protodesc.ToFileDescriptorProto(wire.File_wire_peer_proto)
	if *release {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(present)
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(releasedSchema, data, 0o600), qt.IsNil)
	}
	data, err := os.ReadFile(releasedSchema)
	c.Assert(err, qt.IsNil)
	released := &descriptorpb.FileDescriptorProto{}
	c.Assert(proto.Unmarshal(data, released), qt.IsNil)
	c.Assert(len(released.GetMessageType()) > 0, qt.IsTrue)
	for _, message := range released.GetMessageType() {
		now := wire.File_wire_peer_proto.Messages().ByName(protoreflect.Name(message.GetName()))
		c.Assert(now, qt.IsNotNil, qt.Commentf("message %s is gone", message.GetName()))
		for _, field := range message.GetField() {
			comment := qt.Commentf("field %d of %s", field.GetNumber(), message.GetName())
			f := now.Fields().ByNumber(protoreflect.FieldNumber(field.GetNumber()))
			if f == nil {
				c.Assert(now.ReservedRanges().Has(protoreflect.FieldNumber(field.GetNumber())), qt.IsTrue, comment)
				continue
			}
			c.Assert(protodesc.ToFieldDescriptorProto(f), qt.CmpEquals(protocmp.Transform()), field, comment)
		}
	}
	for _, service := range released.GetService() {
		now := wire.File_wire_peer_proto.Services().ByName(protoreflect.Name(service.GetName()))
		c.Assert(now, qt.IsNotNil, qt.Commentf("service %s is gone", service.GetName()))
		for _, method := range service.GetMethod() {
			c.Assert(now.Methods().ByName(protoreflect.Name(method.GetName())), qt.IsNotNil, qt.Commentf("call %s is gone", method.GetName()))
		}
	}
}
