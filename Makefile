# make demo     sets up what is needed, shows a request answered and a change
#               taking force
# make dev      a mesh on loopback to try things on, until interrupted
# make build    builds the binary ./daisygate
# make test     passes the tests, under the race detector
# make check    what CI runs
# make soak     random faults against the real programs for a minute; SEED=N

.PHONY: demo dev build test check soak

demo:
	go run ./cmd/daisygate dev --demo

dev: build
	./daisygate dev

cli := github.com/daisygate/daisygate/internal/cli
revision := $(shell git describe --always --dirty=+changes --exclude='*' 2>/dev/null)

build:
	go build -ldflags "-X $(cli).Revision=$(revision)" -o daisygate ./cmd/daisygate

# Tests listed in KNOWN-RED.txt are passed over and printed.
test:
	.ci/test

check:
	.ci/run

SEED ?= 1

soak:
	mkdir -p bin
	go build -tags faultydisk -o bin/daisygate ./cmd/daisygate
	go run ./soak run --seed $(SEED) --for 60s --binary bin/daisygate
