#include <stdlib.h>
#include <string.h>

#include "t/standin/lib-web.h"

/* Parses the request body as JSON.  Returns NULL if it is malformed. */
json_t *web_body(const struct web_request *req)
{
	return json_loadb(req->body ? req->body : "", req->body_len, 0, NULL);
}

/* Returns the index of word (which may be NULL) in words, or -1. */
int web_find_word(const char *const *words, int count, const char *word)
{
	int i;

	for (i = 0; word && i < count; i++)
		if (!strcmp(word, words[i]))
			return i;
	return -1;
}

/* Queues res as the response.  Takes over the caller's reference to it. */
enum web_result web_send(struct web_request *req, unsigned status,
			 struct MHD_Response *res)
{
	enum MHD_Result ret;

	if (!res)
		return WEB_CLOSE;
	ret = MHD_queue_response(req->mhd, status, res);
	MHD_destroy_response(res);
	return ret == MHD_YES ? WEB_REPLIED : WEB_CLOSE;
}

/* Sends a copy of body as the response. */
enum web_result web_reply(struct web_request *req, unsigned status,
			  const char *body, size_t len)
{
	return web_send(req, status,
			MHD_create_response_from_buffer(len, (void *)body,
							MHD_RESPMEM_MUST_COPY));
}

/* Sends obj as the response.  Takes over the caller's reference to it. */
enum web_result web_reply_json(struct web_request *req, unsigned status,
			       json_t *obj)
{
	char *text = json_dumps(obj, JSON_COMPACT);
	struct MHD_Response *res;

	json_decref(obj);
	if (!text)
		return WEB_CLOSE;
	res = MHD_create_response_from_buffer(strlen(text), text,
					      MHD_RESPMEM_MUST_FREE);
	if (res)
		MHD_add_response_header(res, "Content-Type",
					"application/json");
	return web_send(req, status, res);
}

/* Sends an error response with a JSON body. */
enum web_result web_reply_error(struct web_request *req, unsigned status,
				const char *error)
{
	return web_reply_json(req, status, json_pack("{s:s}", "error", error));
}
