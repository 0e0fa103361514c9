#include <string.h>

#include "calls/crash.h"

/*
 * Computes the fingerprint of a request: requests with the same path and body
 * by the same account have the same one.
 */
void crash_fingerprint(const char *account, const char *path, const void *body,
		       size_t size, struct digest *out)
{
	struct digest parts[3];

	digest_of(account, strlen(account), &parts[0]);
	digest_of(path, strlen(path), &parts[1]);
	digest_of(body, size, &parts[2]);
	digest_of(parts, sizeof(parts), out);
}

/*
 * Chooses the two upstreams at which a request may run, as indexes into
 * upstreams; -1 where there are too few.  key is the fingerprint, or the
 * digest of something else that every entry reads from the request, such as
 * its session.  All entries must pass the names of all upstreams of the data
 * center that serve the request, including those that died in the last
 * seconds, so that a death does not widen the choice.
 */
void crash_choose_pair(const struct digest *key, const char *const *upstreams,
		       int count, int pair[2])
{
	uint64_t seed, hash, best[2] = { 0, 0 };
	int i;

	memcpy(&seed, key->bytes, sizeof(seed));
	pair[0] = pair[1] = -1;
	for (i = 0; i < count; i++) {
		hash = place_hash_string(upstreams[i], seed);
		if (pair[0] < 0 || hash > best[0]) {
			pair[1] = pair[0];
			best[1] = best[0];
			pair[0] = i;
			best[0] = hash;
		} else if (pair[1] < 0 || hash > best[1]) {
			pair[1] = i;
			best[1] = hash;
		}
	}
}
