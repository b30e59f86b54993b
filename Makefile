# Targets for developers. CI runs .ci/run.

.PHONY: test race demo proto lint measure build

# test runs all tests; it needs only Go. On a busy machine platform/e2e takes longer than go test's
# default timeout of ten minutes.
test:
	go test -timeout 20m $(TESTFLAGS) ./...

# race runs the tests of internal/ under the race detector, but for internal/measure, which prints tables. CI doesn't run
# it; developers do before a landing.
race:
	go test -race -timeout 20m $$(go list ./internal/... | grep -v internal/measure)

# build builds the programs into ./bin.
build:
	go build -o bin/ ./cmd/...

# demo starts a small fleet on loopback, serves one request through it and shows the bill.
demo:
	sh scripts/demo.sh

# measure prints the tables of docs/design from fixed seeds in virtual time.
measure:
	go run ./cmd/measure

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...

# proto regenerates internal/pb; only needed when proto/ changes.
proto:
	protoc --go_out=. --go_opt=module=github.com/bluebellsail/bluebellsail \
	  --go-grpc_out=. --go-grpc_opt=module=github.com/bluebellsail/bluebellsail \
	  proto/bluebellsail.proto
