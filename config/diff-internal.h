#ifndef CONFIG_DIFF_INTERNAL_H
#define CONFIG_DIFF_INTERNAL_H

#include "config/diff.h"

/* Shared by diff.c and diff-routes.c. */

#define DIFF_LIST_BYTES 256

/* The object that a changed field belongs to, and who is affected. */
struct subject {
	struct diff_lines *out;
	const char *name;
	const char *affected;
};

void diff_add_line(struct diff_lines *l, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void diff_number(const struct subject *s, const char *field, double from,
		 double to);
void diff_list(const struct subject *s, const char *field, char *const *a,
	       int na, char *const *b, int nb);
void routing_diff(const struct routing *from, const struct routing *to,
		  struct diff_lines *out);

#endif
