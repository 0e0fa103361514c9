#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/schema.h"
#include "builtin/builtin.h"
#include "builtin/remote.h"

/*
 * Prints the state of the model on one upstream.  Returns 1 when the upstream
 * serves it.
 */
static int print_model_state(const struct remote *r, const json_t *status,
			     const char *model)
{
	const json_t *w = json_object_get(status, "weights");
	const json_t *list = json_object_get(w, "models");
	size_t i;

	for (i = 0; i < json_array_size(list); i++) {
		const json_t *m = json_array_get(list, i);
		const char *state = schema_string(m, "state", "?");

		if (strcmp(schema_string(m, "model", ""), model))
			continue;
		if (r->as_json)
			remote_print_json(m);
		else
			printf("%-20s %-8s %-10s %.16s %lld of %lld chunks\n",
			       schema_string(status, "instance", "?"),
			       schema_string(status, "data_center", "?"), state,
			       schema_string(m, "version", ""),
			       schema_integer(m, "chunks_held", 0),
			       schema_integer(m, "chunks", 0));
		return !strcmp(state, "serving");
	}
	return 0;
}

/* limpetctl where MODEL [--platform URL] [ADDRESS...] */
int cmd_where(int argc, const char **argv)
{
	struct remote r = { 0 };
	int ret, i, serving_count = 0;

	ret = remote_open(&r, argc, argv, 1, "MODEL [ADDRESS...]", NULL);
	if (ret)
		goto out;
	for (i = 0; i < r.target_count; i++) {
		json_t *v = remote_ask(&r, &r.targets[i], "GET", "/status");

		if (v)
			serving_count += print_model_state(&r, v, r.words[0]);
		else
			ret = EXIT_FAILURE;
		json_decref(v);
	}
	if (!r.as_json)
		printf("%d serving\n", serving_count);
out:
	remote_close(&r);
	return ret;
}
