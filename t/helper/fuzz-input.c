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
 * Fuzzes the parsers of untrusted input.  FUZZ_TARGET is 1 for documents, 2
 * for instance lists, 3 for settings files, 4 for account files, 5 for
 * manifests, 6 for XDR messages, 7 for deltas; t/fuzz.sh builds one program
 * for each.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Also checks that an accepted document is consistent. */
static void fuzz_document(const char *text, size_t size)
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

static void fuzz_instance_list(const char *text, size_t size)
{
	struct fault_list faults = { 0 };
	struct instance_list l;

	if (!instance_list_parse(&l, text, size, &faults))
		instance_list_free(&l);
	fault_list_clear(&faults);
}

static void write_file(const char *name, const char *text, size_t size)
{
	FILE *fp = fopen(name, "wb");

	if (!fp)
		abort();
	fwrite(text, 1, size, fp);
	fclose(fp);
}

static void fuzz_settings(const char *text, size_t size)
{
	struct fault_list faults = { 0 };
	struct settings s;

	write_file("fuzz-settings.json", text, size);
	settings_load("fuzz-settings.json", ROLE_AGENT, &s, &faults);
	fault_list_clear(&faults);
}

static void fuzz_account(const char *text, size_t size)
{
	struct collection c = { 0 };

	write_file("fuzz-account.json", text, size);
	collection_add_file(&c, "fuzz-account.json");
	collection_check(&c);
	if (!c.faults.count)
		free(collection_build_document(&c, 1));
	collection_clear(&c);
}

static void fuzz_manifest(const char *text, size_t size)
{
	struct error err = ERROR_INIT;
	struct digest expected_digest;
	struct manifest *m;

	digest_of(text, size, &expected_digest);
	m = manifest_parse(text, size, &expected_digest, &err);
	if (m)
		manifest_free(m);
}

static void fuzz_xdr(xdrproc_t xdr, const char *data, size_t size)
{
	char value[1024] = { 0 };

	if (!xdr_from_memory(xdr, value, data, (u_int)size))
		xdr_free(xdr, value);
}

static void fuzz_delta(const char *data, size_t size)
{
	size_t half = size / 2, n, decoded_size;
	char *d, *decoded;

	free(delta_apply(data, half, data + half, size - half, 1 << 20, &n));
	d = delta_encode(data, half, data + half, size - half, &n);
	if (!d)
		return;
	decoded = delta_apply(data, half, d, n, size - half, &decoded_size);
	if (!decoded || decoded_size != size - half ||
	    memcmp(decoded, data + half, decoded_size))
		abort();
	free(decoded);
	free(d);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *text = (const char *)data;

	switch (FUZZ_TARGET) {
	case 1:
		fuzz_document(text, size);
		break;
	case 2:
		fuzz_instance_list(text, size);
		break;
	case 3:
		fuzz_settings(text, size);
		break;
	case 4:
		fuzz_account(text, size);
		break;
	case 5:
		fuzz_manifest(text, size);
		break;
	case 6:
		fuzz_xdr((xdrproc_t)xdr_envelope_request, text, size);
		fuzz_xdr((xdrproc_t)xdr_envelope_reply, text, size);
		fuzz_xdr((xdrproc_t)xdr_config_request, text, size);
		fuzz_xdr((xdrproc_t)xdr_config_reply, text, size);
		fuzz_xdr((xdrproc_t)xdr_member_hello, text, size);
		fuzz_xdr((xdrproc_t)xdr_member_report, text, size);
		break;
	case 7:
		fuzz_delta(text, size);
		break;
	}
	return 0;
}
