package claims

import (
	"container/list"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/request/idempotency"
)

// tableSnapshot is the encoded form of a table. All lists keep their order, so that
// equal tables have equal snapshots.
type tableSnapshot struct {
	Now        int64        `cbor:"1,keyasint"`
	Active     []savedClaim `cbor:"2,keyasint"`
	Tombstones []savedClaim `cbor:"3,keyasint"`
	// Answers are the indices in Active of the claims with a stored answer, in the
	// order of the list of answers.
	Answers []int `cbor:"4,keyasint"`
	// Owners are the processes that own claims.
	Owners []owner `cbor:"5,keyasint"`
}

type owner struct {
	_           struct{} `cbor:",toarray"`
	Node        string
	Incarnation uint64
}

// savedClaim is one claim.
type savedClaim struct {
	_           struct{} `cbor:",toarray"`
	ID          idempotency.ID
	Fingerprint uint64
	// Owner is an index in the owners of the snapshot.
	Owner      int
	Seq        uint64
	State      state
	Since      int64
	AnsweredAt int64
	Answer     *idempotency.Answer
}

// Snapshot encodes the complete table.
func (t *Table) Snapshot() ([]byte, error) {
	snap := tableSnapshot{Now: t.now}
	ownerIndex := map[owner]int{}
	save := func(e *claim) savedClaim {
		o := owner{Node: e.token.Node, Incarnation: e.token.Incarnation}
		index, known := ownerIndex[o]
		if !known {
			index = len(snap.Owners)
			ownerIndex[o] = index
			snap.Owners = append(snap.Owners, o)
		}
		return savedClaim{
			ID: e.id, Fingerprint: e.fingerprint, Owner: index, Seq: e.token.Seq,
			State: e.state, Since: e.since, AnsweredAt: e.answeredAt, Answer: e.answer,
		}
	}
	activeIndex := map[*claim]int{}
	for el := t.active.Front(); el != nil; el = el.Next() {
		e := el.Value.(*claim)
		if e.answerElement != nil {
			activeIndex[e] = len(snap.Active)
		}
		snap.Active = append(snap.Active, save(e))
	}
	for el := t.tombstones.Front(); el != nil; el = el.Next() {
		snap.Tombstones = append(snap.Tombstones, save(el.Value.(*claim)))
	}
	for el := t.answers.Front(); el != nil; el = el.Next() {
		snap.Answers = append(snap.Answers, activeIndex[el.Value.(*claim)])
	}
	raw, err := cbor.Marshal(snap)
	return raw, errors.Wrap(err, "encode claims")
}

// Restore replaces the complete table with one that Snapshot encoded. After an error
// the table is unchanged.
func (t *Table) Restore(raw []byte) error {
	var snap tableSnapshot
	if err := snapshotDecoding.Unmarshal(raw, &snap); err != nil {
		return errors.Wrap(err, "decode claims")
	}
	restored := New(t.limits)
	restored.now = snap.Now
	if err := restored.restoreClaims(&snap); err != nil {
		return err
	}
	*t = *restored
	return nil
}

// maxArrayElements allows snapshots with more claims than the default limit of the
// codec.
const maxArrayElements = 1 << 27

var snapshotDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxArrayElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func (t *Table) restoreClaims(snap *tableSnapshot) error {
	var active []*claim
	for i := range snap.Active {
		e, err := t.restoreClaim(snap, &snap.Active[i], t.active)
		if err != nil {
			return err
		}
		active = append(active, e)
	}
	for i := range snap.Tombstones {
		if _, err := t.restoreClaim(snap, &snap.Tombstones[i], t.tombstones); err != nil {
			return err
		}
	}
	for _, index := range snap.Answers {
		if index < 0 || index >= len(active) || active[index].answer == nil {
			return errors.New("decode claims: answer refers to a claim that does not exist or has no answer")
		}
		e := active[index]
		e.answerElement = t.answers.PushBack(e)
		t.answerBytes += e.answer.Size()
	}
	return nil
}

func (t *Table) restoreClaim(snap *tableSnapshot, s *savedClaim, l *list.List) (*claim, error) {
	if s.Owner < 0 || s.Owner >= len(snap.Owners) {
		return nil, errors.New("decode claims: claim refers to an owner that does not exist")
	}
	o := snap.Owners[s.Owner]
	e := &claim{
		id: s.ID, fingerprint: s.Fingerprint,
		token: t.intern(idempotency.Token{Node: o.Node, Incarnation: o.Incarnation, Seq: s.Seq}),
		state: s.State, since: s.Since, answeredAt: s.AnsweredAt, answer: s.Answer,
	}
	e.element = l.PushBack(e)
	t.claims[e.id] = e
	return e, nil
}
