#ifndef CONFIG_TEXTS_H
#define CONFIG_TEXTS_H

#include <stddef.h>
#include <stdint.h>

#include "base/digest.h"
#include "config/config_proto.h"

/*
 * The last texts of a value: the current one, which peers ask for, and older
 * ones, from which deltas lead to it.
 */

/* Texts kept per value: the current one and older bases of deltas. */
#define TEXTS_MAX 4

/* The text of a value at one version. */
struct value_text {
	uint64_t version;
	struct digest digest;
	char *data;
	size_t size;
};

const struct value_text *texts_add(struct value_text *texts, uint64_t version,
				   const char *text, size_t size);
char *texts_rebuild(const struct value_text *texts, const config_reply *rep,
		    size_t size_max, size_t *size);
void texts_fill_reply(const struct value_text *texts, const config_request *req,
		      config_reply *rep);
void texts_deflate_reply(config_reply *rep);

#endif
