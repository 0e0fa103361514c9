#include <stdio.h>
#include <stdlib.h>

#include "t/standin/lib-options.h"

/* Reports a wrong value of an option and exits. */
void options_fail(const char *what, const char *text)
{
	fprintf(stderr, "%s: %s\n", what, text ? text : "");
	exit(2);
}

/*
 * Options with a nonzero value in the table are passed to seen() with their
 * argument, each time they occur; popt stores the others itself.
 */
void options_read(int argc, const char **argv, const struct poptOption *table,
		  void (*seen)(int value, const char *text))
{
	poptContext ctx = poptGetContext(NULL, argc, argv, table, 0);
	char *text;
	int value;

	while ((value = poptGetNextOpt(ctx)) > 0) {
		text = poptGetOptArg(ctx);
		if (seen)
			seen(value, text);
		free(text);
	}
	if (value < -1 || poptPeekArg(ctx))
		options_fail(value < -1 ? poptStrerror(value) : "not an option",
			     poptBadOption(ctx, 0));
	poptFreeContext(ctx);
}
