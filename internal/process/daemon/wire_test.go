package daemon

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/process/claims"
	"github.com/daisygate/daisygate/internal/process/quorum"
	"github.com/daisygate/daisygate/internal/process/replica"
	"github.com/daisygate/daisygate/internal/process/source"
	"github.com/daisygate/daisygate/internal/request/once"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// TestMessagesTravelWhole holds that what one process says to another arrives as it was
// said. Operators once read an older manifest than the one that had just been accepted:
// the text in the leader's answer had no name in CBOR, so that it was left out, and every
// source but the leader said "no configuration was accepted yet" (216). With six sources
// one read in six was answered, and the last of those was from before the change. Nothing
// had failed: an encoder leaves a field out without a word.
//
// So every argument and reply of the control methods, and everything the sources put in
// their logs, is sent with all fields set, and with every pointer to a zero.
func TestMessagesTravelWhole(t *testing.T) {
	for name, typ := range controlTypes() {
		t.Run("gob "+name, func(t *testing.T) { travels(t, typ, throughGob) })
	}
	for _, typ := range []reflect.Type{
		reflect.TypeFor[source.Command](), reflect.TypeFor[source.Answer](), reflect.TypeFor[source.Accepted](), reflect.TypeFor[once.Reply](),
	} {
		t.Run("cbor "+typ.String(), func(t *testing.T) { travels(t, typ, throughCBOR(quorum.Encode)) })
	}
	for _, typ := range []reflect.Type{
		reflect.TypeFor[claims.Command](), reflect.TypeFor[fleet.Delta](),
		reflect.TypeFor[replica.HardState](), reflect.TypeFor[replica.Snapshot](), reflect.TypeFor[replica.Entry](), reflect.TypeFor[replica.Membership](),
	} {
		t.Run("cbor "+typ.String(), func(t *testing.T) { travels(t, typ, throughCBOR(cbor.Marshal)) })
	}
}

// controlTypes returns the argument and the reply of each control method, by name.
func controlTypes() map[string]reflect.Type {
	types := map[string]reflect.Type{}
	for _, service := range []any{&meshService{}, &sourceService{}, &nodeService{}, &claimsService{}} {
		typ := reflect.TypeOf(service)
		for i := range typ.NumMethod() {
			method := typ.Method(i)
			name := typ.Elem().Name() + "." + method.Name
			types[name+" argument"] = method.Type.In(1)
			types[name+" reply"] = method.Type.In(2).Elem()
		}
	}
	return types
}

// travels sends values of a type through an encoding.
func travels(t *testing.T, typ reflect.Type, through func(sent, got any) error) {
	c := qt.New(t)
	for _, fill := range []filler{{}, {zeroPointees: true}} {
		sent, got := reflect.New(typ), reflect.New(typ)
		fill.set(c, sent.Elem(), typ.String())
		c.Assert(through(sent.Interface(), got.Interface()), qt.IsNil)
		c.Check(got.Interface(), qt.DeepEquals, sent.Interface())
	}
}

func throughGob(sent, got any) error {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(sent); err != nil {
		return err
	}
	return gob.NewDecoder(&buf).Decode(got)
}

func throughCBOR(encode func(any) ([]byte, error)) func(sent, got any) error {
	return func(sent, got any) error {
		raw, err := encode(sent)
		if err != nil {
			return err
		}
		return cbor.Unmarshal(raw, got)
	}
}

// filler sets every field of a value to something else than zero.
type filler struct {
	// zeroPointees sets pointers to numbers, texts and truth values to a zero.
	zeroPointees bool
	count        int
}

func (f *filler) set(c *qt.C, v reflect.Value, path string) {
	f.count++
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(f.count%100 + 1))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.count%100 + 1))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.count) + 0.5)
	case reflect.String:
		v.SetString("text")
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		if !f.zeroPointees || v.Elem().Kind() == reflect.Struct {
			f.set(c, v.Elem(), path)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.set(c, v.Index(0), path+"[0]")
		f.set(c, v.Index(1), path+"[1]")
	case reflect.Array:
		for i := range v.Len() {
			f.set(c, v.Index(i), path)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.set(c, key, path+" key")
		f.set(c, value, path+" value")
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		f.setStruct(c, v, path)
	default:
		c.Fatalf("%s: nothing is known of %s", path, v.Type())
	}
}

func (f *filler) setStruct(c *qt.C, v reflect.Value, path string) {
	if v.Type() == reflect.TypeFor[time.Time]() {
		v.Set(reflect.ValueOf(time.Unix(5, 678).UTC()))
		return
	}
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if field.Name == "_" {
			continue
		}
		c.Assert(field.IsExported(), qt.IsTrue, qt.Commentf("%s.%s does not travel", path, field.Name))
		f.set(c, v.Field(i), path+"."+field.Name)
	}
}
