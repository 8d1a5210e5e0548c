package source

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/fleet"
)

// TestHistoryIsBounded lists the newest lines of one mesh or of all, never more
// than was asked for.
func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	m := &machine{state: &fleet.State{Version: 2 * MaxHistory}, history: map[string][]Accepted{}}
	for i := range uint64(2 * MaxHistory) {
		mesh := fmt.Sprintf("m%d", i%3)
		m.history[mesh] = append(m.history[mesh], Accepted{Fleet: i + 1, Mesh: mesh})
	}
	for _, row := range []struct {
		request     HistoryRequest
		lines, last uint64
	}{
		{HistoryRequest{}, MaxHistory, 2 * MaxHistory},
		{HistoryRequest{Limit: 3 * MaxHistory}, MaxHistory, 2 * MaxHistory},
		{HistoryRequest{Limit: 4}, 4, 2 * MaxHistory},
		{HistoryRequest{Mesh: "m0", Limit: 1}, 1, 2*MaxHistory - 1},
		{HistoryRequest{Mesh: "nobody"}, 0, 0},
	} {
		lines := m.lines(&row.request)
		c.Check(uint64(len(lines)), qt.Equals, row.lines)
		for i, line := range lines {
			step := uint64(1)
			if row.request.Mesh != "" {
				step = 3
			}
			c.Check(line.Fleet, qt.Equals, row.last-step*uint64(len(lines)-1-i))
		}
	}
}

// TestAnswerTravelsWhole holds that nothing of an answer is lost on its way from the
// leader to the source that was asked: reads at any source but the leader had no
// text, and were told that there was no configuration.
func TestAnswerTravelsWhole(t *testing.T) {
	c := qt.New(t)
	line := Accepted{Fleet: 3, Mesh: "m", Version: 7, Content: 9, Time: time.Unix(5, 0).UTC()}
	sent := Answer{Code: result.Answered, Fleet: 3, Winner: &line, Detail: "d", Text: []byte("text")}
	raw, err := cbor.Marshal(sent)
	c.Assert(err, qt.IsNil)
	var got Answer
	c.Assert(cbor.Unmarshal(raw, &got), qt.IsNil)
	c.Check(got, qt.DeepEquals, sent)
}
