# Commands for developers. `make test` is what CI runs; measurements are apart.
BINARIES := spindled spindle-standin spindle-load

.PHONY: build demo test unit lint ldd measure-membership long-membership

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

# Cost, detection, false suspicions, joining and healing of membership, under
# virtual time.
measure-membership:
	go test -run '^$$' -bench . -benchtime 1x -timeout 30m ./pkg/membership

# Random faults for longer: RAPID_CHECKS fleets, from RAPID_SEED.
long-membership:
	RAPID_CHECKS=$${RAPID_CHECKS:-10000} RAPID_SEED=$${RAPID_SEED:-7} \
		go test -count=1 -timeout 60m -v -run RandomFaults ./pkg/membership
	go test -run '^$$' -fuzz FuzzDecode -fuzztime 60s -fuzzminimizetime 10x -parallel 2 ./pkg/membership/wire
