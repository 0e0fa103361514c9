#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "net/fetch.h"

/*
 * Fetches a URL and prints how the answer ended:
 *     fetch-answer URL [TIMEOUT-MS]
 * The line has the status, the framing, "whole" or the kind of error, and the
 * size of the body. A second line, on standard error, has the peak memory.
 */

#define TIMEOUT_MS 3000

int main(int argc, char **argv)
{
	struct fetch f = { .timeout_ms =
				   argc > 2 ? atol(argv[2]) : TIMEOUT_MS };
	struct error err = ERROR_INIT;
	struct fetcher *fetcher;
	struct rusage used;
	char *body = NULL;
	size_t size = 0;
	int status;

	if (argc < 2)
		return 2;
	apr_initialize();
	fetcher = fetcher_start(NULL, &err);
	if (!fetcher)
		return 2;
	f.url = argv[1];
	status = fetch_wait(fetcher, &f, &body, &size);
	printf("%d %s %s %zu bytes\n", f.status, framing_name(f.framing),
	       status < 0 ? error_code_name(f.error.code) : "whole", size);
	getrusage(RUSAGE_SELF, &used);
	fprintf(stderr, "%ld KB\n", used.ru_maxrss);
	free(body);
	fetcher_stop(fetcher);
	return 0;
}
