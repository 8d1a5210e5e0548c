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

// TestHistoryIsBounded checks that History returns the newest entries of one mesh or of
// all meshes, and never more than requested.
func TestHistoryIsBounded(t *testing.T) {
	c := qt.New(t)
	m := &stateMachine{state: &fleet.State{Version: 2 * MaxHistory}, history: map[string][]HistoryEntry{}}
	for i := range uint64(2 * MaxHistory) {
		mesh := fmt.Sprintf("m%d", i%3)
		m.history[mesh] = append(m.history[mesh], HistoryEntry{Fleet: i + 1, Mesh: mesh})
	}
	for _, row := range []struct {
		request       HistoryRequest
		entries, last uint64
	}{
		{HistoryRequest{}, MaxHistory, 2 * MaxHistory},
		{HistoryRequest{Limit: 3 * MaxHistory}, MaxHistory, 2 * MaxHistory},
		{HistoryRequest{Limit: 4}, 4, 2 * MaxHistory},
		{HistoryRequest{Mesh: "m0", Limit: 1}, 1, 2*MaxHistory - 1},
		{HistoryRequest{Mesh: "nobody"}, 0, 0},
	} {
		entries := m.newestHistory(&row.request)
		c.Check(uint64(len(entries)), qt.Equals, row.entries)
		for i, entry := range entries {
			step := uint64(1)
			if row.request.Mesh != "" {
				step = 3
			}
			c.Check(entry.Fleet, qt.Equals, row.last-step*uint64(len(entries)-1-i))
		}
	}
}

// TestAnswerTravelsWhole checks that no field of an answer is lost in transit from the
// leader to the source that received the request. Reads through a follower once returned
// no text, and the operator received the response that there was no configuration.
func TestAnswerTravelsWhole(t *testing.T) {
	c := qt.New(t)
	entry := HistoryEntry{Fleet: 3, Mesh: "m", Version: 7, Content: 9, Time: time.Unix(5, 0).UTC()}
	sent := Answer{Code: result.Answered, Fleet: 3, Winner: &entry, Detail: "d", Text: []byte("text")}
	raw, err := cbor.Marshal(sent)
	c.Assert(err, qt.IsNil)
	var got Answer
	c.Assert(cbor.Unmarshal(raw, &got), qt.IsNil)
	c.Check(got, qt.DeepEquals, sent)
}
