# kumquatloft: make BUILD=build [SANITIZE=address,undefined|thread]
BUILD ?= build
PREFIX ?= /usr/local
CC = gcc
CXX = g++
VERSION = 0.1.0

PACKAGES = glib-2.0 jansson libpq libcurl libsodium libxxhash libcyaml libevent libevent_pthreads libtirpc
CPPFLAGS += -D_GNU_SOURCE -Iinclude -I. $(shell pkg-config --cflags $(PACKAGES))
OPT ?= -O2 -g
CFLAGS = $(OPT) -std=gnu11 -Wall -Wextra -Werror -fno-strict-aliasing -MMD -MP
# Concurrency Kit's C headers convert void pointers implicitly.
CXXFLAGS = $(OPT) -std=gnu++17 -Wall -fpermissive -Wno-all -MMD -MP
LIBS = $(shell pkg-config --libs $(PACKAGES)) -llog4c -lck -lpthread -lm
ifdef SANITIZE
CFLAGS += -fsanitize=$(SANITIZE) -fno-omit-frame-pointer
CXXFLAGS += -fsanitize=$(SANITIZE)
LDFLAGS += -fsanitize=$(SANITIZE)
endif

LIB_SOURCES = $(wildcard board/*.c control/*.c path/*.c)
IO_SOURCES = $(wildcard codec/*.c front/*.c upstream/*.c platform/*.c peer/*.c)
DAEMON_SOURCES = $(wildcard daemon/*.c)
CTL_SOURCES = $(wildcard ctl/*.c)
DB_SOURCES = $(wildcard standin/database*.c) front/pg_codec.c
WORLD_SOURCES = $(wildcard tests/world*.c)
UNIT_SOURCES = $(wildcard tests/unit/*.c)
UNIT_PROGRAMS = $(UNIT_SOURCES:%.c=$(BUILD)/%)
PROPERTY_PROGRAMS = $(patsubst %.cc,$(BUILD)/%,$(wildcard tests/property/*.cc))
BENCH_PROGRAMS = $(patsubst %.c,$(BUILD)/%,$(wildcard bench/*.c))
PROCESS_PROGRAMS = $(patsubst %.c,$(BUILD)/%,$(wildcard tests/process/*.c))

objects = $(patsubst %.c,$(BUILD)/%.o,$(1))

LIBRARY = $(BUILD)/libkumquatloft.a
IO_LIBRARY = $(BUILD)/libkumquatloft-io.a
PROGRAMS = $(BUILD)/kumquatloftd $(BUILD)/kumquatctl \
	$(BUILD)/kl-standin-platform $(BUILD)/kl-standin-database \
	$(BUILD)/kl-standin-line

all: $(PROGRAMS) $(BUILD)/tests/script_run $(BUILD)/tests/engine_run $(BENCH_PROGRAMS) $(PROCESS_PROGRAMS) $(BUILD)/examples/lend $(BUILD)/kl-soak $(BUILD)/kl-config-soak
all-daemon: $(BUILD)/kumquatloftd
unit: $(UNIT_PROGRAMS)
property: $(PROPERTY_PROGRAMS)

$(LIBRARY): $(call objects,$(LIB_SOURCES))
	rm -f $@; ar rcs $@ $^
$(IO_LIBRARY): $(call objects,$(IO_SOURCES))
	rm -f $@; ar rcs $@ $^

$(BUILD)/kumquatloftd: $(call objects,$(DAEMON_SOURCES)) $(IO_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
$(BUILD)/kumquatctl: $(call objects,$(CTL_SOURCES)) $(IO_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
$(BUILD)/kl-standin-platform: $(BUILD)/standin/platform.o
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
$(BUILD)/kl-standin-database: $(call objects,$(DB_SOURCES)) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
$(BUILD)/kl-standin-line: $(call objects,standin/store.c standin/late_statements.c standin/usage_reports.c standin/line_database.c standin/line_session.c standin/line_main.c platform/line.c) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
$(BUILD)/kl-soak: $(call objects,$(wildcard tests/soak/*.c))
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
$(BUILD)/kl-config-soak: $(call objects,$(wildcard tests/config_soak/*.c) tests/soak/common.c tests/soak/relay.c tests/soak/stand.c)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
$(BUILD)/tests/script_run: $(call objects,$(wildcard tests/script_*.c) $(WORLD_SOURCES)) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
$(BUILD)/tests/engine_run: $(call objects,tests/engine_run.c tests/engine_board.c tests/engine_clients.c tests/engine_look.c tests/engine_model.c) $(IO_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
$(UNIT_PROGRAMS): %: %.o $(BUILD)/daemon/inbox.o $(BUILD)/daemon/settings.o $(IO_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS) -lcmocka
$(PROPERTY_PROGRAMS): %: %.o $(call objects,$(WORLD_SOURCES)) $(IO_LIBRARY) $(LIBRARY)
	$(CXX) $(LDFLAGS) -o $@ $^ $(LIBS) -lrapidcheck
$(BENCH_PROGRAMS) $(PROCESS_PROGRAMS): %: %.o $(call objects,$(WORLD_SOURCES)) $(IO_LIBRARY) $(LIBRARY)
	$(CC) $(LDFLAGS) -o $@ $^ $(LIBS)
# The example is built with the public headers and the library only.
$(BUILD)/examples/lend: examples/lend.c $(LIBRARY)
	@mkdir -p $(dir $@)
	$(CC) -std=gnu11 -Wall -Wextra -Iinclude $(LDFLAGS) -o $@ $^

# The generated code is committed unchanged.
$(BUILD)/peer/peer_xdr.o: CFLAGS += -Wno-unused-variable
$(BUILD)/%.o: %.c
	@mkdir -p $(dir $@)
	$(CC) $(CPPFLAGS) $(CFLAGS) -c -o $@ $<
$(BUILD)/%.o: %.cc
	@mkdir -p $(dir $@)
	$(CXX) -D_GNU_SOURCE -Iinclude -I. $(shell pkg-config --cflags $(PACKAGES)) $(CXXFLAGS) -c -o $@ $<

install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/lib/pkgconfig \
		$(DESTDIR)$(PREFIX)/include/kumquatloft \
		$(DESTDIR)$(PREFIX)/share/man/man1 \
		$(DESTDIR)$(PREFIX)/share/man/man3 \
		$(DESTDIR)$(PREFIX)/share/man/man5 \
		$(DESTDIR)$(PREFIX)/share/man/man8
	install $(BUILD)/kumquatloftd $(BUILD)/kumquatctl $(DESTDIR)$(PREFIX)/bin
	install -m 644 $(LIBRARY) $(DESTDIR)$(PREFIX)/lib
	install -m 644 include/kumquatloft/*.h $(DESTDIR)$(PREFIX)/include/kumquatloft
	sed 's#@PREFIX@#$(PREFIX)#; s#@VERSION@#$(VERSION)#' kumquatloft.pc.in \
		> $(DESTDIR)$(PREFIX)/lib/pkgconfig/kumquatloft.pc
	for s in 1 3 5 8; do for m in man/*.$$s; do \
		[ ! -e "$$m" ] || install -m 644 $$m $(DESTDIR)$(PREFIX)/share/man/man$$s; \
	done; done

clean:
	rm -rf $(BUILD)

.PHONY: all all-daemon unit property install clean
.SECONDARY:
-include $(shell find $(BUILD) -name '*.d' 2>/dev/null)
