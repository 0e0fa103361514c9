#ifndef NET_FETCH_INTERNAL_H
#define NET_FETCH_INTERNAL_H

#include <curl/curl.h>

#include "net/fetch.h"

/* Set-up of libcurl's easy handles (fetch-easy.c) for the loop in fetch.c. */

void fetch_reset_head(struct fetch *f);
CURL *fetch_easy_new(struct fetch *f, const char *local_address, long max_age);
void fetch_error_from_curl(struct fetch *f, CURLcode code);
int fetch_is_cut(const struct fetch *f);

#endif
