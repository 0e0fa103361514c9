#include "weights/hint.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"

/*
 * Formats a message as the text of the header, with as many log entries as
 * fit.
 */
void hint_format(const struct weights_have *h, char out[HINT_SIZE])
{
	char hex[DIGEST_HEX_SIZE];
	u_int i, n = h->entries.entries_len;
	int at;

	digest_hex((const struct digest *)h->digest, hex);
	if (n > HINT_ENTRIES_MAX)
		n = HINT_ENTRIES_MAX;
	at = snprintf(out, HINT_SIZE, "%s %u %u %u %u %u %u", hex, h->epoch,
		      h->start, h->total, h->received_epoch, h->received_count,
		      h->is_complete);
	for (i = 0; i < n && at < HINT_SIZE - 12; i++)
		at += snprintf(out + at, (size_t)(HINT_SIZE - at), " %u",
			       h->entries.entries_val[i]);
}

static int parse_number(const char **text, u_int *out)
{
	char *end;
	unsigned long v = strtoul(*text, &end, 10);

	if (end == *text || v > UINT32_MAX)
		return -1;
	*text = end;
	*out = (u_int)v;
	return 0;
}

/*
 * Parses the text of the header. *out refers to entries for its list. Returns
 * -1 when the text is malformed.
 */
int hint_parse(const char *text, struct weights_have *out,
	       u_int entries[HINT_ENTRIES_MAX])
{
	u_int *const fields[] = { &out->epoch,		&out->start,
				  &out->total,		&out->received_epoch,
				  &out->received_count, &out->is_complete };
	char hex[DIGEST_HEX_SIZE];
	struct digest d;
	size_t i;

	memset(out, 0, sizeof(*out));
	snprintf(hex, sizeof(hex), "%s", text);
	if (digest_parse(hex, &d))
		return -1;
	memcpy(out->digest, d.bytes, sizeof(out->digest));
	text += strlen(hex);
	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++)
		if (parse_number(&text, fields[i]))
			return -1;
	out->entries.entries_val = entries;
	while (out->entries.entries_len < HINT_ENTRIES_MAX &&
	       !parse_number(&text, &entries[out->entries.entries_len]))
		out->entries.entries_len++;
	return 0;
}
