#include <stdio.h>
#include <stdlib.h>

#include "t/standin/lib-options.h"

void options_fail(const char *what, const char *text)
{
	fprintf(stderr, "%s: %s\n", what, text ? text : "");
	exit(2);
}

/*
 * Calls on_option() with the argument of each option that has a nonzero value
 * in the table; popt stores the others itself.
 */
void options_parse(int argc, const char **argv, const struct poptOption *table,
		   void (*on_option)(int value, const char *text))
{
	poptContext ctx = poptGetContext(NULL, argc, argv, table, 0);
	char *text;
	int value;

	while ((value = poptGetNextOpt(ctx)) > 0) {
		text = poptGetOptArg(ctx);
		if (on_option)
			on_option(value, text);
		free(text);
	}
	if (value < -1 || poptPeekArg(ctx))
		options_fail(value < -1 ? poptStrerror(value)
					: "unexpected argument",
			     poptBadOption(ctx, 0));
	poptFreeContext(ctx);
}
