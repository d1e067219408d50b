# Shortcuts for CMake presets and scripts; holds no build logic of its own.
PRESET ?= release

.PHONY: test build demo format
test:
	scripts/test.sh $(PRESET)
build:
	scripts/install-packages.sh
	cmake --preset $(PRESET)
	cmake --build --preset $(PRESET)
demo: build
	scripts/demo.sh build/$(PRESET)
format:
	git ls-files -co --exclude-standard '*.cpp' '*.hpp' | grep -v /generated/ | xargs clang-format -i
