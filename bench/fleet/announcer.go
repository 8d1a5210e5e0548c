package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/daisygate/daisygate/internal/connection/announce"
	"github.com/daisygate/daisygate/internal/process/settings"
)

const (
	announceTimeout = 5 * time.Second
	renewEvery      = 15 * time.Second
	leaseSeconds    = 60
	// The announced size of each server.
	announcedSlots       = 20
	announcedConnections = 110
)

// Announced is a fleet whose daemons take announcements.
type Announced interface {
	System
	// Settings returns a member's settings.
	Settings(member int) settings.Settings
}

// Announcer keeps one backend server announced beside each daemon of a fleet.
// At the announced addresses connections are taken and closed.
type Announcer struct {
	servers  placeholders
	fleet    Announced
	services int
	// first is the number of the first member's server.
	first int
	http  *http.Client
	stop  context.CancelFunc
	wait  sync.WaitGroup
}

// NewAnnouncer announces a server beside each daemon, the services dealt round
// from the one numbered first, and renews the leases until Close.
func NewAnnouncer(f Announced, services, first int) *Announcer {
	ctx, stop := context.WithCancel(context.Background())
	a := &Announcer{fleet: f, services: services, first: first, http: &http.Client{Timeout: announceTimeout}, stop: stop}
	a.wait.Go(func() { a.renew(ctx) })
	return a
}

func (a *Announcer) renew(ctx context.Context) {
	for {
		for member := range a.fleet.Size() {
			_ = a.Announce(ctx, member, "serving")
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewEvery):
		}
	}
}

// Announce puts the server beside a member into a state.
func (a *Announcer) Announce(ctx context.Context, member int, state string) error {
	server := a.first + member
	address, err := a.servers.addr(server)
	if err != nil {
		return err
	}
	raw, err := json.Marshal(announce.Announcement{
		Mesh: MeshName, Service: ServiceName(server % a.services),
		Address: address, Slots: announcedSlots, Connections: announcedConnections, State: state, LeaseSeconds: leaseSeconds,
	})
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	url := "http://" + a.fleet.Settings(member).Listen.Announce + announce.ServersPath
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(raw))
	if err != nil {
		return errors.Wrap(err, "announcement")
	}
	resp, err := a.http.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	if err := resp.Body.Close(); err != nil {
		return errors.Wrap(err, "announce")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errors.Newf("announcement refused: %s", resp.Status)
	}
	return nil
}

// Close ends the renewal.
func (a *Announcer) Close() {
	a.stop()
	a.wait.Wait()
	a.servers.close()
}
