#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log-writer.h"
#include "base/log.h"
#include "base/metric.h"

/*
 * Writes lines as fast as it can, then says so:
 *
 *	test-log COUNT DONE-FILE
 *
 * COUNT warnings and as many plain lines that name a request, and COUNT of
 * one message without.  Once all are handed to the log, DONE-FILE gets the
 * number of lines left out.
 */

#define FLUSH_MS 2000

static void lines_write(int count)
{
	int i;

	for (i = 0; i < count; i++) {
		char id[32];
		struct log_place at = { "refuse", "route", id };

		snprintf(id, sizeof(id), "r%d", i);
		log_fields(LOG_SEV_WARNING, &at, json_pack("{s:i}", "n", i),
			   "request refused");
		log_fields(LOG_SEV_INFO, &at, json_pack("{s:i}", "n", i),
			   "request ended");
		log_info("member", "peer", "is live");
	}
}

int main(int argc, char **argv)
{
	FILE *fp;

	if (argc != 3)
		return 2;
	apr_initialize();
	log_init("test-log", "t", LOG_SEV_INFO);
	lines_write(atoi(argv[1]));
	fp = fopen(argv[2], "w");
	if (!fp)
		return 1;
	fprintf(fp, "%lld %llu\n",
		(long long)metric_value(
			metric_counter("log_lines_dropped", "budget")),
		log_writer_dropped());
	fclose(fp);
	log_writer_flush(FLUSH_MS);
	return 0;
}
