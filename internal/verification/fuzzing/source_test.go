// Package fuzzing feeds messages, API calls and health check results with fuzzed fields to the state machines of the
// control daemon and the proxy, and checks that none makes them panic. It does not check their responses; the rules of
// package simulator do. Start with step_test.go; source_test.go converts fuzzed bytes to events.
package fuzzing

import (
	"encoding/binary"
	"math"
	"reflect"
	"testing"
	"time"

	"myrtlefold/internal/shared/config"
	"myrtlefold/internal/shared/statemachine"
	"myrtlefold/internal/shared/wire"
)

// commonTexts are the strings used for most string fields, so that events often refer to existing daemons, services,
// targets and states.
var commonTexts = []string{"", "c1", "c2", "g1", "g2", "s0", "s1", "t0", "t1", string(wire.ControlDaemon), string(wire.ProxyDaemon), "d0", string(wire.TargetReady), string(wire.TargetWarming), string(wire.TargetLeaving), string(wire.TargetGone), "10.0.0.1:1", "x"}

// fuzzSource converts fuzzed bytes to values. When the bytes are used up, all further bytes are zero.
type fuzzSource struct{ data []byte }

// nextByte consumes one byte and returns it, or 0 if none is left.
func (s *fuzzSource) nextByte() byte {
	if len(s.data) == 0 {
		return 0
	}
	b := s.data[0]
	s.data = s.data[1:]
	return b
}

// number returns a number that is usually small, so that epochs, terms and indexes are close to the real ones.
func (s *fuzzSource) number() uint64 {
	switch b := s.nextByte(); {
	case b < 240:
		return uint64(b % 16)
	case b == 255:
		return math.MaxUint64 - uint64(s.nextByte()%2)
	default:
		var raw [8]byte
		raw[s.nextByte()%8] = s.nextByte()
		return binary.LittleEndian.Uint64(raw[:])
	}
}

// text usually returns one of commonTexts, and otherwise arbitrary bytes.
func (s *fuzzSource) text() string {
	if b := s.nextByte(); b < 250 {
		return commonTexts[int(b)%len(commonTexts)]
	}
	n := min(int(s.nextByte()), len(s.data))
	text := string(s.data[:n])
	s.data = s.data[n:]
	return text
}

// fill sets v, including nested structs and slices, from the fuzzed bytes. A quarter of the pointers remain nil.
func (s *fuzzSource) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if s.nextByte()%4 != 0 {
			v.Set(reflect.New(v.Type().Elem()))
			s.fill(v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			s.fill(v.Field(i))
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte(s.text()))
			return
		}
		n := int(s.nextByte() % 4)
		v.Set(reflect.MakeSlice(v.Type(), n, n))
		for i := range n {
			s.fill(v.Index(i))
		}
	case reflect.String:
		v.SetString(s.text())
	case reflect.Bool:
		v.SetBool(s.nextByte()%2 == 1)
	case reflect.Float64:
		v.SetFloat([]float64{0, 0.5, 1, -1, 1e300, math.Inf(1), math.NaN()}[s.nextByte()%7])
	case reflect.Int64:
		v.SetInt(int64(s.number()))
	case reflect.Uint64, reflect.Uint32, reflect.Uint16:
		v.SetUint(s.number())
	}
}

// message returns a message as another daemon could send it, after an encoding round trip.
func (s *fuzzSource) message(t *testing.T) *wire.Message {
	m := &wire.Message{}
	s.fill(reflect.ValueOf(m).Elem())
	m.Kind = 1 + m.Kind%wire.KindCall
	b, err := wire.Encode(m)
	if err != nil {
		t.Skip(err)
	}
	got, err := wire.Decode(b)
	if err != nil {
		t.Skip(err)
	}
	return got
}

// commonPaths are the paths used for most API calls.
var commonPaths = []string{"/v1/config", "/v1/config/history", "/v1/config/diff", "/v1/config/rollback", "/v1/changes", "/v1/roster", "/v1/targets", "/v1/targets/s0/t0",
	"/v1/targets/s0/t0/leaving", "/v1/policies", "/v1/policies/p", "/v1/domains/d0/empty", "/v1/domains/d0/restore", "/v1/gates/g1/forget", "/v1/core/add", "/v1/core/c2/add",
	"/v1/core/c1/remove", "/v1/core/refound", "/v1/status", "/v1/domains", "/", ""}

// call returns an API call, usually to one of commonPaths.
func (s *fuzzSource) call(id uint64) statemachine.Call {
	call := statemachine.Call{ID: id, Token: s.text(), Method: []string{"GET", "PUT", "PATCH", "POST", "DELETE", ""}[s.nextByte()%6]}
	if b := int(s.nextByte()); b < 250 {
		call.Path = commonPaths[b%len(commonPaths)]
	} else {
		call.Path = s.text()
	}
	call.Query = []string{"", "plain", "base=0", "to=1", "from=0&to=1", "gone=c2,c3", "id=7", "revision=1", "%zz", s.text()}[s.nextByte()%10]
	call.Body = []byte([]string{"", "{}", "[]", "null", `{"services":{"s0":{}}}`, `{"policies":{"p":null}}`, `{"service":"s0","name":"t0","incarnation":9,"address":"10.0.0.1:1","state":"leaving"}`,
		`{"when":"errors > 0.5","do":"eject"}`, s.text()}[s.nextByte()%9])
	return call
}

// event returns an API call, a health check result or, most often, a received message.
func (s *fuzzSource) event(t *testing.T, id uint64) statemachine.Event {
	switch s.nextByte() % 5 {
	case 0:
		return s.call(id)
	case 1:
		result := statemachine.ProbeResult{ID: wire.TargetID{Service: s.text(), Name: s.text(), Incarnation: s.number()}, SentAt: time.Duration(s.number()), Milliseconds: 1}
		if s.nextByte()%2 == 1 {
			result.Report = &config.TargetReport{Service: s.text(), Name: s.text(), Incarnation: s.number(), Address: s.text(), State: wire.TargetState(s.text())}
		}
		return result
	default:
		return statemachine.Receive{Message: s.message(t)}
	}
}
