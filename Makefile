.PHONY: build demo up test lint bench soak

build:
	go build -o bin/ ./entry ./operator ./standin ./loadtest

demo: build
	scripts/demo.sh

up: build
	scripts/up.sh

test:
	scripts/test.sh

lint:
	scripts/lint.sh

bench: build
	scripts/bench.sh

soak:
	scripts/soak.sh
