# Targets: all, demo, test, test-tsan, style, format, perf, fuzz, model,
# capacity, clean.  FLAVOR picks a build folder and its compiler flags.

FLAVOR ?= release
CC = gcc
PKGS = apr-1 apr-util-1 libmicrohttpd libcurl libtirpc popt jansson libxxhash zlib \
       libcrypto
B ?= build/$(FLAVOR)
Q = $(if $(V),,@)

BASIC_CFLAGS = -std=gnu11 -g -Wall -Wextra -Werror -Wshadow \
	-Wdeclaration-after-statement -Wstrict-prototypes -Wvla \
	-Wno-unused-parameter -Wno-missing-field-initializers \
	-Wno-cast-function-type
FLAGS_release = -O2 -D_FORTIFY_SOURCE=2
FLAGS_asan = -O1 -fsanitize=address,undefined -fno-omit-frame-pointer \
	-DLIMPET_DEBUG
FLAGS_tsan = -O1 -fsanitize=thread -fno-omit-frame-pointer -DLIMPET_DEBUG
LIMPET_CFLAGS := $(BASIC_CFLAGS) $(FLAGS_$(FLAVOR)) -I. \
	$(shell pkg-config --cflags $(PKGS) 2>/dev/null)
LIMPET_LIBS := $(shell pkg-config --libs $(PKGS) 2>/dev/null) -lm -lpthread

LIB_DIRS = base net config member weights calls forward platform
GENERATED := $(wildcard net/*_proto_xdr.c config/*_proto_xdr.c \
	member/*_proto_xdr.c weights/*_proto_xdr.c calls/*_proto_xdr.c \
	forward/*_proto_xdr.c)
LIB_SRC := $(foreach d,$(LIB_DIRS),$(wildcard $(d)/*.c))
LIB_OBJ := $(LIB_SRC:%.c=$(B)/%.o)
BUILTIN_SRC := $(wildcard builtin/*.c)
BUILTIN_OBJ := $(BUILTIN_SRC:%.c=$(B)/%.o)
STANDIN_COMMON := $(wildcard t/standin/lib-*.c)
STANDIN_SRC := $(filter-out $(STANDIN_COMMON),$(wildcard t/standin/*.c))
STANDINS := $(STANDIN_SRC:t/standin/%.c=$(B)/t/%)
HELPER_COMMON := $(wildcard t/helper/lib-*.c)
HELPER_SRC := $(filter-out t/helper/fuzz-%.c $(HELPER_COMMON),\
	$(wildcard t/helper/*.c))
HELPERS := $(HELPER_SRC:t/helper/%.c=$(B)/t/%)
ENTRY_NEEDS = config/config.c member/member.c calls/entry.c
AGENT_NEEDS = config/config.c member/member.c weights/weights.c calls/gate.c
CTL_NEEDS = builtin/check.c builtin/collect.c builtin/manifest.c
have_all = $(if $(filter-out $(wildcard $(1)),$(1)),,$(2))
DAEMON_BIN := $(call have_all,$(ENTRY_NEEDS),$(B)/limpet-entry) \
	$(call have_all,$(AGENT_NEEDS),$(B)/limpet-agent) \
	$(call have_all,$(CTL_NEEDS),$(B)/limpetctl)
STYLE_SRC := $(filter-out $(GENERATED),$(LIB_SRC)) $(BUILTIN_SRC) \
	$(wildcard limpet*.c) $(wildcard t/standin/*.c) $(wildcard t/helper/*.c)
STYLE_HDR := $(filter-out %_proto.h,$(foreach d,$(LIB_DIRS) builtin t/standin \
	t/helper,$(wildcard $(d)/*.h)))

all: $(DAEMON_BIN) $(STANDINS) $(HELPERS)

daemons: $(DAEMON_BIN)

$(B)/liblimpet.a: $(LIB_OBJ)
	@rm -f $@
	$(Q)ar rcs $@ $^

$(B)/%_proto_xdr.o: %_proto_xdr.c
	@mkdir -p $(dir $@)
	$(Q)$(CC) $(LIMPET_CFLAGS) -Wno-unused -Wno-shadow \
		-Wno-declaration-after-statement -MMD -MP -c -o $@ $<

$(B)/%.o: %.c
	@mkdir -p $(dir $@)
	$(Q)$(CC) $(LIMPET_CFLAGS) -MMD -MP -c -o $@ $<

$(B)/limpet-entry $(B)/limpet-agent: $(B)/%: $(B)/%.o $(B)/liblimpet.a
	$(Q)$(CC) $(LIMPET_CFLAGS) -o $@ $^ $(LIMPET_LIBS)

$(B)/limpetctl: $(B)/limpetctl.o $(BUILTIN_OBJ) $(B)/liblimpet.a
	$(Q)$(CC) $(LIMPET_CFLAGS) -o $@ $^ $(LIMPET_LIBS)

$(STANDINS): $(B)/t/%: $(B)/t/standin/%.o $(STANDIN_COMMON:%.c=$(B)/%.o) \
		$(B)/liblimpet.a
	$(Q)$(CC) $(LIMPET_CFLAGS) -o $@ $^ $(LIMPET_LIBS)

$(HELPERS): $(B)/t/%: $(B)/t/helper/%.o $(HELPER_COMMON:%.c=$(B)/%.o) \
		$(B)/liblimpet.a
	@mkdir -p $(dir $@)
	$(Q)$(CC) $(LIMPET_CFLAGS) -o $@ $^ $(LIMPET_LIBS) -lcheck -lsubunit -lrt

# These run on a clock and a network of the test's own.
CANCEL_WRAPPED = clock_now fetch_submit fetch_cancel http_call_body \
	http_call_set http_call_answer_room http_call_reply refusal_send \
	http_call_written_name \
	http_call_stream_begin http_call_stream_write http_call_stream_is_full \
	http_call_stream_end http_call_on_drain crash_check_items \
	crash_count_blames crash_is_refused crash_record_sound
$(B)/t/test-cancel: LIMPET_LIBS += $(CANCEL_WRAPPED:%=-Wl,--wrap=%)

# Regenerates the committed XDR code after a change to a .x file.
xdr:
	for x in $(wildcard */*_proto.x); do \
		d=$$(dirname $$x); n=$$(basename $$x .x); \
		(cd $$d && rm -f $$n.h $${n}_xdr.c && rpcgen -h $$n.x >$$n.h && \
		 rpcgen -c $$n.x >$${n}_xdr.c && \
		 sed -i "s,#include \".*$$n.h\",#include \"$$d/$$n.h\"," \
			$${n}_xdr.c) || exit 1; \
	done

deps:
	sh t/install-deps.sh

demo: deps
	$(MAKE) all
	sh t/demo.sh

test: deps
	$(MAKE) FLAVOR=$(FLAVOR) all
	FLAVOR=$(FLAVOR) sh t/run-tests.sh

test-asan:
	$(MAKE) FLAVOR=asan all
	FLAVOR=asan sh t/run-tests.sh

test-tsan:
	$(MAKE) FLAVOR=tsan all
	FLAVOR=tsan sh t/run-tests.sh

format:
	clang-format -i $(STYLE_SRC) $(STYLE_HDR)

style: style-format style-lint

style-format:
	@clang-format --dry-run --Werror $(STYLE_SRC) $(STYLE_HDR)

style-lint:
	@printf '%s\n' $(filter-out t/helper/fuzz-%,$(STYLE_SRC)) | xargs -P 8 -n 4 sh -c 'clang-tidy --quiet \
		"$$@" -- $(filter-out -O% -Wno-% -D_FORTIFY%,$(LIMPET_CFLAGS)) \
		2>/dev/null' sh

# Parsers of outside input under libFuzzer, a short run with a fixed seed.
fuzz:
	sh t/fuzz.sh $(FUZZ_RUNS)

perf: all
	for p in t/perf/p[0-9]*.sh; do sh $$p || exit 1; done

model:
	sh t/model/run.sh

# Measures what an instance spends and rewrites the capacity page's tables.
CAPACITY_POINTS = docs/measurements/capacity.jsonl
capacity: all
	sh t/perf/p0009-capacity.sh >$(CAPACITY_POINTS).new
	mv $(CAPACITY_POINTS).new $(CAPACITY_POINTS)
	python3 t/perf/capacity.py $(CAPACITY_POINTS) docs/CAPACITY.md

clean:
	rm -rf build t/trash t/output

-include $(shell find $(B) -name '*.d' 2>/dev/null)

FUZZ_RUNS ?= 20000

.PHONY: all daemons fuzz xdr deps demo test test-asan test-tsan format style style-format \
	style-lint perf model clean
.SECONDARY:
