#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log-writer.h"
#include "base/log.h"
#include "base/metric.h"

/*
 * Writes log lines as fast as possible:
 *
 *	test-log COUNT DONE-FILE
 *
 * It logs COUNT warnings and COUNT info lines that name a request, and COUNT
 * info lines with one message that do not.  Once all of them are passed to the
 * log, it writes two numbers to DONE-FILE: the lines dropped by the budgets and
 * the lines dropped by the writer.
 */

#define FLUSH_MS 2000

static void write_lines(int count)
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
	write_lines(atoi(argv[1]));
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
