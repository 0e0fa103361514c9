#ifndef NET_FRAMING_H
#define NET_FRAMING_H

/* What marks the end of the body of an HTTP message. */
enum framing {
	FRAMING_NONE = 0, /* the head is not complete */
	FRAMING_LENGTH,	  /* Content-Length, or a status without a body */
	FRAMING_CHUNKED,  /* the last chunk */
	FRAMING_CLOSE	  /* neither: the body ends with its connection */
};

const char *framing_name(enum framing framing);

#endif
