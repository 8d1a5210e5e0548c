package balance

import "github.com/daisygate/daisygate/internal/version/directory"

// maxFormerStatements is the number of statements of servers that are no candidates any more
// above which they are dropped.
const maxFormerStatements = 1024

// ServerStatement is what a backend server states about itself in its responses, as reported by
// the daemon on its instance.
type ServerStatement struct {
	// Boot and Started identify the start of the server that the statement is from, as in
	// presence.Server. Started is 0 while only a health check has told the boot.
	Boot    string
	Started int64
	// RateLimit is the number of requests per second that the server accepts from all daemons
	// together; 0 means that there is no limit.
	RateLimit float64
	// Leaving is set once the server has stated that it is about to stop.
	Leaving bool
}

// RecordStatement records what the server of a candidate states. It is kept while the server is
// not a candidate, because its daemon may only be out of reach for a while. A boot that is
// leaving does not stop leaving: a later statement without it comes from a daemon that does not
// know it.
func (t *Table) RecordStatement(c *directory.Candidate, s ServerStatement) {
	if before := t.statements[c.Server.Addr]; before.SameBoot(s) {
		s.Leaving = s.Leaving || before.Leaving
		s.Started = max(s.Started, before.Started)
	}
	if s == (ServerStatement{Boot: s.Boot, Started: s.Started}) {
		delete(t.statements, c.Server.Addr)
		return
	}
	if len(t.statements) >= len(t.candidates)+maxFormerStatements {
		for addr := range t.statements {
			if t.servers[addr] == nil {
				delete(t.statements, addr)
			}
		}
	}
	t.statements[c.Server.Addr] = s
}

// leaving reports whether a candidate's boot has stated that it is about to stop. Without a boot
// ID it might be a later start of the server; then only its state in the directory counts.
func (t *Table) leaving(c *directory.Candidate) bool {
	return c.Server.Boot != "" && t.StatementOf(c).Leaving
}

// StatementOf returns the last statement of a candidate's boot.
func (t *Table) StatementOf(c *directory.Candidate) ServerStatement {
	none := ServerStatement{Boot: c.Server.Boot, Started: c.Server.Started}
	if s := t.statements[c.Server.Addr]; s.SameBoot(none) {
		return s
	}
	return none
}

// SameBoot reports whether two statements are from the same start of a server.
func (s ServerStatement) SameBoot(o ServerStatement) bool {
	return s.Boot == o.Boot && (s.Started == o.Started || s.Started == 0 || o.Started == 0)
}
