#ifndef CONFIG_DIFF_H
#define CONFIG_DIFF_H

#include "config/document.h"

/* Describes the changes from one document to another as lines of text. */

struct diff_lines {
	char **lines;
	size_t count;
	size_t capacity;
};

void document_diff(const struct document *from, const struct document *to,
		   struct diff_lines *out);
void diff_lines_clear(struct diff_lines *l);

#endif
