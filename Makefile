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

# Prints the tables of docs/design/06-overload.md: virtual time, fixed seeds.
.PHONY: measure-overload
measure-overload:
	@MEASURE=1 go test -count=1 -run 'TestMeasure(Amplification|Hedging|Overload)' -v ./internal/proxy | grep -v '^\(=== RUN\|--- PASS\|PASS\|ok\)'
	@go test -run '^$$' -bench . -benchtime 200ms -cpu 1,4 ./internal/proxy ./pkg/retry ./pkg/queue ./pkg/limit | grep Benchmark

# Prints what neighbouring values of the constants do; a few minutes.
.PHONY: measure-overload-constants
measure-overload-constants:
	@scripts/overload-neighbours.sh
