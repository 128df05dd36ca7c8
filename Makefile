# Commands for developers. `make test` is what CI runs; measurements are apart.
BINARIES := spindled spindle-standin spindle-load

.PHONY: build demo test unit lint ldd bench-wire fuzz-wire

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

# What one entry host adds to a request, and what a request costs it.
bench-wire:
	@scripts/bench-wire.sh
	go test -run '^$$' -bench . -benchmem ./internal/httpwire ./internal/upstream

# A longer look for messages that the guard and net/http frame differently.
FUZZTIME ?= 60s
fuzz-wire:
	go test -run '^$$' -fuzz FuzzRequest -fuzztime $(FUZZTIME) -parallel 2 ./internal/httpwire/framing
	go test -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZTIME) -parallel 2 ./internal/httpwire/framing
	go test -run '^$$' -fuzz FuzzGuard -fuzztime $(FUZZTIME) -parallel 2 ./internal/httpwire
	go test -run '^$$' -fuzz FuzzAnswer -fuzztime $(FUZZTIME) -parallel 2 ./internal/upstream
