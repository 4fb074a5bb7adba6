GO ?= go
# CONCURRENT lists the packages whose suites run under the race detector.
CONCURRENT := queue slots sendlimit limit route lease attempt upstream idempotency rollout instance objects link domain notice probe usage intake roster pace forward batch gateway telemetry fleet internal/http1

.PHONY: all build demo test crowd lint race fuzz clean FORCE

all: build

build:
	$(GO) build -o bin/ ./cmd/...

# demo starts a small deployment, serves some work and stops it again.
demo: build
	sh scripts/demo.sh

# GINKGO runs suites and writes a report, from which testreport gives the verdict: failures
# listed in KNOWN-RED.txt are printed and set aside. The output is kept for suites that end
# without a report; Ginkgo doesn't intercept it, since that hides a panic when a suite runs
# in several processes.
GINKGO = $(GO) tool ginkgo run --keep-going --no-color --seed=1 --output-dir=bin --output-interceptor-mode=none
TESTREPORT = bin/testreport

$(TESTREPORT): FORCE
	$(GO) build -o bin/ ./internal/tools/testreport

# Tests that are no specs run without Ginkgo, which leaves them out of its report. The
# entry point of all suites is named TestSuite.
PLAIN = $(GO) test -skip '^TestSuite$$'

# ALONE is the suite that must not run beside others: it measures processes under load.
ALONE = test/crowd
# SUITES lists the folders of all other suites.
SUITES = $(filter-out ./$(ALONE),$(shell grep -rl --include='*_test.go' '^func TestSuite' . | xargs -n 1 dirname | sort -u))

# test runs every suite but ALONE, and every other test.
test: build $(TESTREPORT)
	rm -f bin/report.json
	-$(GINKGO) -r --skip-package=$(ALONE) --procs=4 --timeout=40m --json-report=report.json $(GINKGOFLAGS) 2>&1 | tee bin/report.log
	$(PLAIN) ./...
	$(TESTREPORT) bin/report.json bin/report.log KNOWN-RED.txt $(SUITES)

# crowd runs the specs of ALONE one after the other.
crowd: $(TESTREPORT)
	rm -f bin/crowd.json
	-$(GINKGO) --procs=1 --timeout=20m --json-report=crowd.json ./$(ALONE) 2>&1 | tee bin/crowd.log
	$(TESTREPORT) bin/crowd.json bin/crowd.log KNOWN-RED.txt $(ALONE)

lint:
	@test -z "$$(gofmt -l .)" || (gofmt -l .; echo "run gofmt"; exit 1)
	$(GO) vet ./...
	$(GO) vet -tags capacity ./test/e2e
	$(GO) tool staticcheck ./...

# race runs the tests of the concurrent packages under the race detector. A data race
# ends the process, so that its suite is reported as failed.
race: export GORACE = halt_on_error=1
race: $(TESTREPORT)
	rm -f bin/race.json
	-$(GINKGO) --race --json-report=race.json $(addprefix ./,$(CONCURRENT)) 2>&1 | tee bin/race.log
	$(PLAIN) -race $(addprefix ./,$(CONCURRENT))
	$(TESTREPORT) bin/race.json bin/race.log KNOWN-RED.txt $(CONCURRENT)

# fuzz searches for input that the parsers of ours do not bear.
FUZZTIME ?= 20s
fuzz:
	$(GO) test ./contract -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME)
	$(GO) test ./contract -run '^$$' -fuzz FuzzSplitKey -fuzztime $(FUZZTIME)
	$(GO) test ./internal/http1 -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZTIME)

FORCE:

clean:
	rm -rf bin
