package daemon

import "github.com/daisygate/daisygate/internal/version/directory"

// Directory returns the daemons, their backend servers and the routes known to this daemon.
func (d *Daemon) Directory() *directory.Directory { return d.mesh.Directory() }
