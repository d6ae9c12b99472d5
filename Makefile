# Entry points for CMake and the tools; README.md describes the commands.
BUILD ?= build
JOBS ?= $(shell nproc)
CMAKE_FLAGS ?=
export DEBIAN_FRONTEND = noninteractive

# All Debian packages that the build and the checks need.
PACKAGES = gcc g++ make cmake pkg-config git ca-certificates ccache python3 \
	clang clang-format clang-tidy cppcheck libclang-rt-14-dev spin gnuplot-nox \
	libev-dev libprotobuf-c-dev protobuf-c-compiler protobuf-compiler \
	libmicrohttpd-dev libcurl4-openssl-dev libargtable2-dev libjson-c-dev \
	libsodium-dev liblz4-dev libhttp-parser-dev libgtest-dev

# Seeds of the fault soak, as FIRST..LAST.
SEEDS ?= 1..10

.PHONY: all deps build sanitized check demo model mutants bench capacity lint fuzz soak format proto clean

all: build

deps:
	@missing=$$(for p in $(PACKAGES); do \
		dpkg-query -W -f='$${Status}' $$p 2>/dev/null | grep -q 'ok installed' || echo $$p; \
	done); \
	if [ -n "$$missing" ]; then \
		apt-get update -qq && apt-get install -y -qq $$missing >/dev/null; \
	fi

build: deps
	@cmake -S . -B $(BUILD) $(CMAKE_FLAGS) >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) -- --no-print-directory

sanitized: deps
	@cmake -S . -B build-check -DMASTICPITCH_SANITIZE=ON -DMASTICPITCH_FAULTS=ON >/dev/null
	@cmake --build build-check -j $(JOBS) -- --no-print-directory

check: sanitized fuzz
	@cd build-check && ctest --output-on-failure -j $(JOBS)

demo: build
	@MASTICPITCH_BUILD=$(BUILD) python3 tools/demo.py

model: deps
	@tools/model.sh

mutants: deps
	@tools/mutants.sh

bench: build
	@MASTICPITCH_BUILD=$(BUILD) python3 tools/bench.py

capacity: build
	@MASTICPITCH_BUILD=$(BUILD) python3 tools/capacity.py

lint: deps
	@tools/lint.sh

fuzz: deps
	@tools/fuzz.sh

soak: build
	@MASTICPITCH_BUILD=$(BUILD) python3 tools/soak.py $(SEEDS)

format: deps
	@git ls-files '*.c' '*.h' '*.cc' | grep -v pb-c | xargs clang-format -i

proto: deps
	@cd proto && protoc-c --c_out=../src masticpitch.proto

clean:
	@rm -rf build build-check build-fuzz
