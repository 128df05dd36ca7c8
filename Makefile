# Commands for developers. `make test` is what CI runs; measurements are apart.
BINARIES := spindled spindle-standin spindle-load

.PHONY: build demo test unit lint ldd

build:
	@mkdir -p bin
	@for b in $(BINARIES); do CGO_ENABLED=1 go build -o bin/$$b ./cmd/$$b || exit 1; done

demo:
	@scripts/demo.sh

test: lint build ldd unit

unit:
	go test ./...

lint:
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	go vet ./...
	go tool staticcheck ./...

# Every binary is linked to the C library, as the platform expects.
ldd: build
	@for b in $(BINARIES); do ldd bin/$$b | grep -q libc.so || { echo "$$b is not linked to libc"; exit 1; }; done

# Proof and figures of docs/design/02-configuration.md. check-config takes seconds;
# long-config takes CHECKS random runs of SEED.
.PHONY: check-config fuzz-config long-config measure-config
CHECKS ?= 5000
SEED ?= 2026
FUZZTIME ?= 30s

check-config:
	spec/check-config.sh

fuzz-config:
	go test -run xxx -fuzz FuzzParse -fuzztime $(FUZZTIME) -fuzzminimizetime 20x ./pkg/config
	go test -run xxx -fuzz FuzzDeliver -fuzztime $(FUZZTIME) -fuzzminimizetime 20x ./internal/configfeed

long-config:
	go test -run Fleet -v -timeout 2h ./pkg/configsync -rapid.checks=$(CHECKS) -rapid.seed=$(SEED)

measure-config:
	CONFIG_MEASURE=1 go test -run Measure -v -timeout 30m ./pkg/configsync ./internal/configfeed
	go test -run xxx -bench Compile ./internal/configfeed
