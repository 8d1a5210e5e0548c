package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/daisygate/daisygate/internal/result"
	"github.com/daisygate/daisygate/internal/version/snapshot"
)

// headerAuthorization carries the API key of a caller. It is not forwarded in a mesh with
// organisations.
const headerAuthorization = "Authorization"

// retryAfterUnproven is when to retry a request for which this daemon could not prove that
// its keys are current: a proof is requested several times per second.
const retryAfterUnproven = time.Second

// Allowances limits the requests of organisations at all daemons together.
// Implementations must be safe for concurrent use and must not block.
type Allowances interface {
	// Admit counts a request and reports whether it is within the limit of its
	// organisation. If it is not, retryAfter is when it could be.
	Admit(mesh string, o *snapshot.Organisation) (retryAfter time.Duration, admitted bool)
	// Refund reverses Admit for a request that was not run.
	Refund(mesh string, o *snapshot.Organisation)
}

// APIKey returns the API key in the Authorization header, or "" if there is none with the
// given scheme. Several headers are joined to a text that no organisation has as a key.
func APIKey(h http.Header, scheme string) string {
	values := h[headerAuthorization]
	if len(values) > 1 {
		return strings.Join(values, ", ")
	}
	if len(values) == 0 {
		return ""
	}
	given, key, _ := strings.Cut(values[0], " ")
	if !strings.EqualFold(given, scheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// authenticate finds the organisation whose API key the caller sent, and removes the key
// from the request.
func (x *exchange) authenticate() *refusal {
	snap := x.dir.Snapshot
	if !snap.HasOrganisations(x.route.Mesh) {
		return nil
	}
	apiKey := x.caller.Key
	x.caller.Key = ""
	x.r.Header.Del(headerAuthorization)
	if apiKey == "" && x.route.Keyless {
		return nil
	}
	x.organisation = snap.OrganisationByKey(x.route.Mesh, apiKey)
	if x.organisation == nil {
		return newRefusal(result.KeyUnknown, "route "+x.route.Name)
	}
	return x.checkKeysCurrent()
}

// checkKeysCurrent refuses a request with an API key while this daemon cannot prove that
// the key has not been withdrawn.
func (x *exchange) checkKeysCurrent() *refusal {
	if x.organisation == nil || x.g.cfg.KeysCurrent == nil || x.g.cfg.KeysCurrent() {
		return nil
	}
	return &refusal{
		Error:      result.Errorf(result.KeysUnproven, "organisation %s", x.organisation.Name),
		retryAfter: retryAfterUnproven,
	}
}

// admitOrganisation counts the request against the limit of its organisation.
func (x *exchange) admitOrganisation() *refusal {
	if x.organisation == nil || x.g.cfg.Allowances == nil {
		return nil
	}
	retryAfter, admitted := x.g.cfg.Allowances.Admit(x.route.Mesh, x.organisation)
	if !admitted {
		return &refusal{Error: result.Errorf(result.AllowanceExceeded, "organisation %s", x.organisation.Name), retryAfter: retryAfter}
	}
	x.allowanceUsed = true
	return nil
}

// refundAllowance returns the allowance used by a request that was not run.
func (x *exchange) refundAllowance() {
	if x.allowanceUsed {
		x.allowanceUsed = false
		x.g.cfg.Allowances.Refund(x.route.Mesh, x.organisation)
	}
}

// organisationName returns the name of the caller's organisation, or "".
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// setWeight sets the weight of the caller's organisation as of a version.
func (req *backendRequest) setWeight(snap *snapshot.Snapshot) {
	if req.request.Organisation == "" {
		return
	}
	if o := snap.Organisation(req.request.Mesh, req.request.Organisation); o != nil {
		req.weight = o.Weight
	}
}

// optionalHeader returns the values of a header that is omitted if value is empty. As part
// of the headers for a backend server, it also replaces what the caller sent.
func optionalHeader(value string) []string {
	if value == "" {
		return nil
	}
	return []string{value}
}
