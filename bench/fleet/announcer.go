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
	renewInterval   = 15 * time.Second
	leaseSeconds    = 60
	// The announced size of each server.
	announcedSlots       = 20
	announcedConnections = 110
)

// AnnounceTarget is a fleet whose daemons accept announcements.
type AnnounceTarget interface {
	System
	// Settings returns the settings of a member.
	Settings(member int) settings.Settings
}

// Announcer keeps one backend server announced at each daemon of a fleet. At the announced addresses,
// connections are accepted and closed.
type Announcer struct {
	servers  placeholders
	fleet    AnnounceTarget
	services int
	// first is the number of the server of the first member.
	first int
	http  *http.Client
	stop  context.CancelFunc
	wait  sync.WaitGroup
}

// NewAnnouncer announces a server at each daemon and renews the leases until Close. Services are
// assigned round-robin; the first member has the server numbered first.
func NewAnnouncer(f AnnounceTarget, services, first int) *Announcer {
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
		case <-time.After(renewInterval):
		}
	}
}

// Announce announces a state of the server at a member.
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
		return errors.Wrap(err, "create announcement request")
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

// Close stops the renewal and the listeners of the servers.
func (a *Announcer) Close() {
	a.stop()
	a.wait.Wait()
	a.servers.close()
}
