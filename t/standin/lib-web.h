/*
 * HTTP server of the stand-ins: one libmicrohttpd thread pool that serves
 * any number of listening addresses.  A request may be suspended without
 * blocking a thread and resumed later.  To inject faults, the connections of
 * an address can be blackholed or dropped.
 */
#ifndef STANDIN_LIB_WEB_H
#define STANDIN_LIB_WEB_H

#include <stddef.h>
#include <stdint.h>
#include <stdbool.h>
#include <sys/types.h>
#include <microhttpd.h>
#include <jansson.h>

#define WEB_ADDRESS_MAX 16

/* Return values of web_stream_ops.read if there are no bytes. */
#define WEB_STREAM_WAIT ((ssize_t)0)
#define WEB_STREAM_END ((ssize_t)MHD_CONTENT_READER_END_OF_STREAM)
#define WEB_STREAM_ERROR ((ssize_t)MHD_CONTENT_READER_END_WITH_ERROR)

struct web_server;
struct web_conn;

enum web_result {
	WEB_REPLIED, /* a response is queued */
	WEB_SUSPEND, /* call the handler again after web_resume() */
	WEB_CLOSE,   /* close the connection without a response */
};

struct web_request {
	struct web_conn *conn;
	struct MHD_Connection *mhd;
	char method[8];
	char *path;
	char *body;
	size_t body_len;
	size_t body_alloc;
	void *call; /* private data of the handler */
};

struct web_ops {
	enum web_result (*handle)(struct web_request *req, void *arg);
	void (*end)(struct web_request *req, void *arg);
};

struct web_stream_ops {
	ssize_t (*read)(void *stream, char *buf, size_t max);
	void (*close)(void *stream);
};

struct web_server *web_start(const struct web_ops *ops, void *arg,
			     unsigned threads);
int web_listen(struct web_server *server, const char *address, unsigned port);
void web_unlisten(struct web_server *server, const char *address);
void web_blackhole(struct web_server *server, const char *address);
void web_drop_connections(struct web_server *server, const char *address);
void web_resume(struct web_request *req);

const char *web_local_address(const struct web_request *req);
const char *web_peer_address(const struct web_request *req);
const char *web_header(const struct web_request *req, const char *name);
const char *web_query(const struct web_request *req, const char *name);
json_t *web_body(const struct web_request *req);
int web_find_word(const char *const *words, int count, const char *word);
long web_query_long(const struct web_request *req, const char *name,
		    long default_value);

enum web_result web_send(struct web_request *req, unsigned status,
			 struct MHD_Response *res);
enum web_result web_reply(struct web_request *req, unsigned status,
			  const char *body, size_t len);
enum web_result web_reply_json(struct web_request *req, unsigned status,
			       json_t *obj);
enum web_result web_reply_error(struct web_request *req, unsigned status,
				const char *error);
struct MHD_Response *web_stream(struct web_request *req, uint64_t size,
				const struct web_stream_ops *ops, void *arg);

void web_block_exit_signals(void);
int web_start_ticker(long period_us, void (*tick)(void *arg, int64_t now_ms),
		     void *arg);
int64_t web_now_ms(void);
int web_wait_for_exit_signal(void);

#endif
