#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/digest.h"
#include "base/settings.h"
#include "config/collect.h"
#include "config/config_proto.h"
#include "config/delta.h"
#include "config/document.h"
#include "member/member_proto.h"
#include "member/merge.h"
#include "net/envelope.h"
#include "net/envelope_proto.h"
#include "weights/manifest.h"

/*
 * libFuzzer target for everything that is read from outside.  FUZZ_TARGET
 * is the number of the parser; t/perf/fuzz.sh builds one program for each.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What a parser accepts must also hold together. */
static void document_try(const char *text, size_t size)
{
	struct fault_list faults = { 0 };
	struct document *d = document_parse(text, size, &faults);
	int i;

	if (!d == !faults.count)
		abort();
	for (i = 0; d && i < d->model_count; i++) {
		if (document_find_model(d, d->models[i].name) !=
			    &d->models[i] ||
		    d->models[i].account >= d->account_count)
			abort();
		is_model_assigned(&d->models[i], "upstream-1", "dc");
	}
	fault_list_clear(&faults);
	document_unref(d);
}

static void list_try(const char *text, size_t size)
{
	struct fault_list faults = { 0 };
	struct instance_list l;

	if (!instance_list_parse(&l, text, size, &faults))
		instance_list_free(&l);
	fault_list_clear(&faults);
}

static void file_write(const char *name, const char *text, size_t size)
{
	FILE *fp = fopen(name, "wb");

	if (!fp)
		abort();
	fwrite(text, 1, size, fp);
	fclose(fp);
}

static void settings_try(const char *text, size_t size)
{
	struct fault_list faults = { 0 };
	struct settings s;

	file_write("fuzz-settings.json", text, size);
	settings_load("fuzz-settings.json", ROLE_AGENT, &s, &faults);
	fault_list_clear(&faults);
}

static void account_try(const char *text, size_t size)
{
	struct collection c = { 0 };

	file_write("fuzz-account.json", text, size);
	collection_add_file(&c, "fuzz-account.json");
	collection_check(&c);
	if (!c.faults.count)
		free(collection_build_document(&c, 1));
	collection_clear(&c);
}

static void manifest_try(const char *text, size_t size)
{
	struct error err = ERROR_INIT;
	struct digest want;
	struct manifest *m;

	digest_of(text, size, &want);
	m = manifest_parse(text, size, &want, &err);
	if (m)
		manifest_free(m);
}

static void xdr_try(xdrproc_t xdr, const char *data, size_t size)
{
	char value[1024] = { 0 };

	if (!xdr_from_memory(xdr, value, data, (u_int)size))
		xdr_free(xdr, value);
}

static void delta_try(const char *data, size_t size)
{
	size_t half = size / 2, n, back_size;
	char *d, *back;

	free(delta_apply(data, half, data + half, size - half, 1 << 20, &n));
	d = delta_encode(data, half, data + half, size - half, &n);
	if (!d)
		return;
	back = delta_apply(data, half, d, n, size - half, &back_size);
	if (!back || back_size != size - half ||
	    memcmp(back, data + half, back_size))
		abort();
	free(back);
	free(d);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;

	switch (FUZZ_TARGET) {
	case 1:
		document_try(text, size);
		break;
	case 2:
		list_try(text, size);
		break;
	case 3:
		settings_try(text, size);
		break;
	case 4:
		account_try(text, size);
		break;
	case 5:
		manifest_try(text, size);
		break;
	case 6:
		xdr_try((xdrproc_t)xdr_envelope_request, text, size);
		xdr_try((xdrproc_t)xdr_envelope_reply, text, size);
		xdr_try((xdrproc_t)xdr_config_request, text, size);
		xdr_try((xdrproc_t)xdr_config_reply, text, size);
		xdr_try((xdrproc_t)xdr_member_hello, text, size);
		xdr_try((xdrproc_t)xdr_member_report, text, size);
		break;
	case 7:
		delta_try(text, size);
		break;
	}
	return 0;
}
