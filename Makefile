GO ?= go
REPORT := bin/report.json

# CONCURRENT lists the packages whose suites run under the race detector.
CONCURRENT := queue slots limit route lease attempt upstream idempotency rollout instance objects link domain notice probe usage roster forward batch gateway telemetry fleet

.PHONY: all build demo test lint race fuzz clean

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# demo starts a small deployment, serves some work and stops it again.
demo: build
	sh scripts/demo.sh

# test runs every suite; failures listed in KNOWN-RED.txt are printed and set aside.
test: build
	$(GO) build -o bin/ ./internal/tools/testreport
	rm -f $(REPORT)
	-$(GO) tool ginkgo run -r --procs=4 --keep-going --no-color --seed=1 --timeout=40m --output-dir=bin --json-report=report.json $(GINKGOFLAGS)
	bin/testreport $(REPORT) KNOWN-RED.txt

lint:
	@test -z "$$(gofmt -l .)" || (gofmt -l .; echo "run gofmt"; exit 1)
	$(GO) vet ./...
	$(GO) vet -tags capacity ./test/e2e
	$(GO) tool staticcheck ./...

# race runs the suites of the concurrent packages under the race detector.
race:
	$(GO) tool ginkgo run --race --seed=1 --keep-going --no-color $(addprefix ./,$(CONCURRENT))

# fuzz searches for input that the parsers of ours do not bear.
FUZZTIME ?= 20s
fuzz:
	$(GO) test ./contract -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	$(GO) test ./contract -run '^$$' -fuzz FuzzSplitKey -fuzztime $(FUZZTIME)

clean:
	rm -rf bin
