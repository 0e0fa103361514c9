#include "net/silence.h"

#include <stdio.h>
#include <string.h>

#include "base/digest.h"

/* Ages are whole seconds, rounded down on both sides of a comparison. */
#define ROUNDING_S 1

static void host_of(const char *url, char out[SILENCE_HOST_SIZE])
{
	const char *host = strstr(url, "://");

	host = host ? host + 3 : url;
	snprintf(out, SILENCE_HOST_SIZE, "%.*s", (int)strcspn(host, "/"), host);
}

static unsigned slot_of(const char *host)
{
	return (unsigned)(place_hash_string(host, 0) % SILENCE_HOSTS);
}

/*
 * Notes that a request begun at that time met silence.  Hosts that share a
 * slot push each other out; the one pushed out is only slower to recover.
 */
void silence_note(struct silence *s, const char *url, apr_time_t began)
{
	char host[SILENCE_HOST_SIZE];
	struct silence_host *h;

	host_of(url, host);
	h = &s->hosts[slot_of(host)];
	if (!strcmp(h->host, host) && h->since >= began)
		return;
	memcpy(h->host, host, sizeof(host));
	h->since = began;
}

/*
 * Returns the age in seconds above which a connection to the URL's host must
 * not be reused: 0 for no limit, SILENCE_FRESH when none may be reused.
 */
long silence_max_age(const struct silence *s, const char *url, apr_time_t now)
{
	char host[SILENCE_HOST_SIZE];
	const struct silence_host *h;
	long age;

	host_of(url, host);
	h = &s->hosts[slot_of(host)];
	if (!h->since || strcmp(h->host, host) ||
	    now - h->since > SILENCE_KEEP_US)
		return 0;
	age = (long)((now - h->since) / APR_USEC_PER_SEC) - ROUNDING_S;
	return age > 0 ? age : SILENCE_FRESH;
}
