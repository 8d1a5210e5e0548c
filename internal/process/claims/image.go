package claims

import (
	"container/list"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/daisygate/daisygate/internal/request/once"
)

// image is the encoded form of a table. Each list is in its own order, so that
// equal tables have equal images.
type image struct {
	Now   int64   `cbor:"1,keyasint"`
	Kept  []saved `cbor:"2,keyasint"`
	Tombs []saved `cbor:"3,keyasint"`
	// Answers are places in Kept, in the order of the kept answers.
	Answers []int `cbor:"4,keyasint"`
	// Owners are the processes that hold claims.
	Owners []owner `cbor:"5,keyasint"`
}

type owner struct {
	_           struct{} `cbor:",toarray"`
	Node        string
	Incarnation uint64
}

// saved is one claim.
type saved struct {
	_           struct{} `cbor:",toarray"`
	ID          once.ID
	Fingerprint uint64
	// Owner is a place in the image's owners.
	Owner      int
	Seq        uint64
	State      state
	Since      int64
	AnsweredAt int64
	Answer     *once.Answer
}

// Snapshot encodes the whole table.
func (t *Table) Snapshot() ([]byte, error) {
	im := image{Now: t.now}
	places := map[owner]int{}
	save := func(e *claim) saved {
		o := owner{Node: e.token.Node, Incarnation: e.token.Incarnation}
		place, known := places[o]
		if !known {
			place = len(im.Owners)
			places[o] = place
			im.Owners = append(im.Owners, o)
		}
		return saved{
			ID: e.id, Fingerprint: e.fingerprint, Owner: place, Seq: e.token.Seq,
			State: e.state, Since: e.since, AnsweredAt: e.answeredAt, Answer: e.answer,
		}
	}
	at := map[*claim]int{}
	for el := t.kept.Front(); el != nil; el = el.Next() {
		e := el.Value.(*claim)
		if e.answerPlace != nil {
			at[e] = len(im.Kept)
		}
		im.Kept = append(im.Kept, save(e))
	}
	for el := t.tombs.Front(); el != nil; el = el.Next() {
		im.Tombs = append(im.Tombs, save(el.Value.(*claim)))
	}
	for el := t.answers.Front(); el != nil; el = el.Next() {
		im.Answers = append(im.Answers, at[el.Value.(*claim)])
	}
	raw, err := cbor.Marshal(im)
	return raw, errors.Wrap(err, "encode claims")
}

// Restore replaces the whole table by what Snapshot encoded. After an error the
// table is as before.
func (t *Table) Restore(raw []byte) error {
	var im image
	if err := imageDecoding.Unmarshal(raw, &im); err != nil {
		return errors.Wrap(err, "decode claims")
	}
	fresh := New(t.limits)
	fresh.now = im.Now
	if err := fresh.fill(&im); err != nil {
		return err
	}
	*t = *fresh
	return nil
}

// maxElements lets an image hold more claims than the codec's default bound.
const maxElements = 1 << 27

var imageDecoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func (t *Table) fill(im *image) error {
	var kept []*claim
	for i := range im.Kept {
		e, err := t.load(im, &im.Kept[i], t.kept)
		if err != nil {
			return err
		}
		kept = append(kept, e)
	}
	for i := range im.Tombs {
		if _, err := t.load(im, &im.Tombs[i], t.tombs); err != nil {
			return err
		}
	}
	for _, place := range im.Answers {
		if place < 0 || place >= len(kept) || kept[place].answer == nil {
			return errors.New("decode claims: an answer without its claim")
		}
		e := kept[place]
		e.answerPlace = t.answers.PushBack(e)
		t.answerBytes += e.answer.Size()
	}
	return nil
}

func (t *Table) load(im *image, s *saved, into *list.List) (*claim, error) {
	if s.Owner < 0 || s.Owner >= len(im.Owners) {
		return nil, errors.New("decode claims: a claim without its owner")
	}
	o := im.Owners[s.Owner]
	e := &claim{
		id: s.ID, fingerprint: s.Fingerprint,
		token: t.intern(once.Token{Node: o.Node, Incarnation: o.Incarnation, Seq: s.Seq}),
		state: s.State, since: s.Since, answeredAt: s.AnsweredAt, answer: s.Answer,
	}
	e.place = into.PushBack(e)
	t.claims[e.id] = e
	return e, nil
}
