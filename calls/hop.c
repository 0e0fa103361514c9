#include "calls/hop.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"

#define HOP_SIGNED_TEXT_SIZE 2048

/*
 * Returns 1 for a request id of printable ASCII without spaces, quotes and
 * backslashes that fits into struct hop.
 */
int request_id_is_valid(const char *id)
{
	size_t i, n = strlen(id);

	if (!n || n >= HOP_REQUEST_SIZE)
		return 0;
	for (i = 0; i < n; i++)
		if (id[i] <= ' ' || id[i] > '~' || id[i] == '"' ||
		    id[i] == '\\')
			return 0;
	return 1;
}

/* Computes the HMAC of all members, the path and the body. */
static void sign_headers(const struct hop *h, const char *path,
			 const void *body, size_t size, const char *key,
			 struct digest *mac)
{
	char text[HOP_SIGNED_TEXT_SIZE], hex[DIGEST_HEX_SIZE];
	struct digest d;
	int n;

	digest_of(body, size, &d);
	digest_hex(&d, hex);
	n = snprintf(text, sizeof(text),
		     "%s\n%s\n%s\n%s\n%ld\n%s\n%s\n%d\n%d\n%s\n%s\n%s\n%s",
		     path, h->request_id, h->account, h->agent, h->remaining_ms,
		     h->ticket, h->key, h->is_repeatable, h->key_lifetime_s,
		     h->fingerprint, h->kv_source, h->version, hex);
	digest_hmac(key, text, (size_t)n, mac);
}

__attribute__((format(printf, 3, 4))) static void
add_header(struct hop_headers *out, struct fetch *f, const char *fmt, ...)
{
	char *line = out->text + out->used;
	size_t room = sizeof(out->text) - out->used;
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line, room, fmt, ap);
	va_end(ap);
	if (n < 0 || (size_t)n >= room)
		abort(); /* the member sizes leave room for all headers */
	out->used += (size_t)n + 1;
	f->headers[out->count++] = line;
	f->headers[out->count] = NULL;
}

/*
 * Sets the headers of the fetch that sends an attempt, signed with key.  The
 * fetch points into out.
 */
void hop_set_headers(const struct hop *h, const char *path, const void *body,
		     size_t size, const char *key, struct hop_headers *out,
		     struct fetch *f)
{
	char hex[DIGEST_HEX_SIZE];
	struct digest mac;

	sign_headers(h, path, body, size, key, &mac);
	digest_hex(&mac, hex);
	out->count = 0;
	out->used = 0;
	add_header(out, f, "Content-Type: application/json");
	add_header(out, f, "X-Limpet-Request: %s", h->request_id);
	add_header(out, f, "X-Limpet-Account: %s", h->account);
	add_header(out, f, "X-Limpet-Left-Ms: %ld", h->remaining_ms);
	add_header(out, f, "X-Limpet-Repeatable: %d %d", h->is_repeatable,
		   h->key_lifetime_s);
	add_header(out, f, "X-Limpet-Fingerprint: %s", h->fingerprint);
	add_header(out, f, "X-Limpet-Auth: %s", hex);
	if (*h->ticket)
		add_header(out, f, "X-Limpet-Ticket: %s", h->ticket);
	if (*h->key)
		add_header(out, f, "X-Limpet-Key: %s", h->key);
	if (*h->kv_source)
		add_header(out, f, "X-Limpet-Kv-From: %s", h->kv_source);
	if (*h->version)
		add_header(out, f, "X-Limpet-Version: %s", h->version);
}

static int copy_header(struct http_call *c, const char *name, int required,
		       char *to, size_t size)
{
	const char *value = http_call_header(c, name);

	if (!value)
		return required ? -1 : 0;
	return snprintf(to, size, "%s", value) < (int)size ? 0 : -1;
}

/*
 * Parses and verifies the headers of an attempt.  h->agent must be set to the
 * receiving instance, as the HMAC covers it.  The current and the previous
 * key are accepted.  Returns -1 with ERROR_INVALID for malformed headers and
 * ERROR_AUTH for a wrong HMAC.  To be called within the HTTP handler only.
 */
int hop_parse_headers(struct http_call *c, const struct rpc_keys *keys,
		      struct hop *h, struct error *err)
{
	char hex[DIGEST_HEX_SIZE] = "", left[24] = "", flags[32] = "";
	struct digest given, want;
	const void *body;
	size_t size;
	int ok;

	if (copy_header(c, "X-Limpet-Request", 1, h->request_id,
			sizeof(h->request_id)) ||
	    copy_header(c, "X-Limpet-Account", 1, h->account,
			sizeof(h->account)) ||
	    copy_header(c, "X-Limpet-Left-Ms", 1, left, sizeof(left)) ||
	    copy_header(c, "X-Limpet-Repeatable", 1, flags, sizeof(flags)) ||
	    copy_header(c, "X-Limpet-Fingerprint", 1, h->fingerprint,
			sizeof(h->fingerprint)) ||
	    copy_header(c, "X-Limpet-Auth", 1, hex, sizeof(hex)) ||
	    copy_header(c, "X-Limpet-Ticket", 0, h->ticket,
			sizeof(h->ticket)) ||
	    copy_header(c, "X-Limpet-Key", 0, h->key, sizeof(h->key)) ||
	    copy_header(c, "X-Limpet-Kv-From", 0, h->kv_source,
			sizeof(h->kv_source)) ||
	    copy_header(c, "X-Limpet-Version", 0, h->version,
			sizeof(h->version)) ||
	    digest_parse(hex, &given) || !request_id_is_valid(h->request_id))
		return error_set(err, ERROR_INVALID, "hop-read",
				 http_call_peer(c),
				 "headers missing or malformed");
	h->remaining_ms = strtol(left, NULL, 10);
	if (sscanf(flags, "%d %d", &h->is_repeatable, &h->key_lifetime_s) != 2)
		return error_set(err, ERROR_INVALID, "hop-read",
				 http_call_peer(c), "flags malformed");
	body = http_call_body(c, &size);
	sign_headers(h, http_call_path(c), body, size, keys->current, &want);
	ok = bytes_equal_constant_time(&want, &given, sizeof(want));
	if (!ok && *keys->previous) {
		sign_headers(h, http_call_path(c), body, size, keys->previous,
			     &want);
		ok = bytes_equal_constant_time(&want, &given, sizeof(want));
	}
	if (!ok)
		return error_set(err, ERROR_AUTH, "hop-read", http_call_peer(c),
				 "authentication code is wrong");
	return 0;
}
