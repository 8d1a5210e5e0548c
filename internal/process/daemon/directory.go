package daemon

import "github.com/daisygate/daisygate/internal/version/directory"

// Directory returns who serves what, as this daemon knows it now.
func (d *Daemon) Directory() *directory.Directory { return d.mesh.Directory() }
