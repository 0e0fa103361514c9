#ifndef NET_FRAMING_H
#define NET_FRAMING_H

/* What marks the end of the body of an HTTP message. */
enum framing {
	FRAMING_NONE = 0, /* the head is not complete */
	FRAMING_LENGTH,	  /* Content-Length, or a status without a body */
	FRAMING_CHUNKED,  /* the last chunk */
	FRAMING_CLOSE	  /* neither: the body ends with its connection */
};

#define CONTENT_TYPE_SIZE 256

void content_type_copy(char out[CONTENT_TYPE_SIZE], const char *value);
const char *framing_name(enum framing framing);

#endif
