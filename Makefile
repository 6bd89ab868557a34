# make demo [EXAMPLE=dakar]          installs the packages, builds, and runs an example deployment
# make test                          installs the packages, builds, and runs all tests
# make bench | capacity              builds and runs the benchmarks
# make soak SEED=n DURATION_S=n      builds and runs the randomised fault injection run
EXAMPLE ?= harvesters
SEED ?= 1
DURATION_S ?= 60
BUILD ?= build

PACKAGES = g++ cmake ninja-build ccache libboost1.81-dev libcereal-dev libdocopt-dev \
  librapidcheck-dev catch2 libxxhash-dev zlib1g-dev libbenchmark-dev \
  clang-format clang-tidy git make

.PHONY: install build demo test check bench capacity soak format lint tsan clean

install:
	@missing=$$(for p in $(PACKAGES); do dpkg -s $$p >/dev/null 2>&1 || echo $$p; done); \
	if [ -n "$$missing" ]; then \
	  apt-get update -qq && apt-get install -y -qq --no-install-recommends $$missing >/dev/null; \
	fi

$(BUILD)/build.ninja:
	cmake -S . -B $(BUILD) -G Ninja >/dev/null

build: install $(BUILD)/build.ninja
	@ninja -C $(BUILD) --quiet

demo: build
	$(BUILD)/test/demo --binaries=$(BUILD) --example=examples/$(EXAMPLE) --work=run/$(EXAMPLE)

test: build
	ctest --test-dir $(BUILD) --output-on-failure --no-tests=error

bench: build
	@$(BUILD)/bench/bench --binaries=$(BUILD)

capacity: build
	$(BUILD)/bench/capacity --binaries=$(BUILD)

soak: build
	$(BUILD)/test/soak --binaries=$(BUILD) --seed=$(SEED) --duration-s=$(DURATION_S)

format:
	git ls-files '*.hpp' '*.cpp' | xargs clang-format -i

check: install
	git ls-files '*.hpp' '*.cpp' | xargs clang-format --dry-run --Werror

lint: build
	git ls-files 'src/*.cpp' 'apps/*.cpp' 'platform/*.cpp' | xargs -P 8 -n 2 clang-tidy --quiet -p $(BUILD)

tsan: install
	@test -f build-tsan/build.ninja || cmake -S . -B build-tsan -G Ninja \
	  -DGUAVASHED_SANITIZE_THREAD=ON >/dev/null
	@ninja -C build-tsan --quiet correctness_concurrency
	build-tsan/test/correctness_concurrency

clean:
	rm -rf $(BUILD) build-tsan run
