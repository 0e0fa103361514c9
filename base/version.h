#ifndef BASE_VERSION_H
#define BASE_VERSION_H

#define LIMPET_VERSION_STRING "0.1.0"

#endif
