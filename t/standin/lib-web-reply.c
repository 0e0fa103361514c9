#include <stdlib.h>
#include <string.h>

#include "t/standin/lib-web.h"

/* Queues res as the reply and gives up the caller's reference to it. */
enum web_verdict web_send(struct web_request *req, unsigned status,
			  struct MHD_Response *res)
{
	enum MHD_Result queued;

	if (!res)
		return WEB_CLOSE;
	queued = MHD_queue_response(req->mhd, status, res);
	MHD_destroy_response(res);
	return queued == MHD_YES ? WEB_DONE : WEB_CLOSE;
}

/* Replies with a copy of body. */
enum web_verdict web_reply(struct web_request *req, unsigned status,
			   const char *body, size_t len)
{
	return web_send(req, status,
			MHD_create_response_from_buffer(len, (void *)body,
							MHD_RESPMEM_MUST_COPY));
}

/* Replies with obj and drops the caller's reference to it. */
enum web_verdict web_reply_json(struct web_request *req, unsigned status,
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

enum web_verdict web_reply_error(struct web_request *req, unsigned status,
				 const char *error)
{
	return web_reply_json(req, status, json_pack("{s:s}", "error", error));
}
