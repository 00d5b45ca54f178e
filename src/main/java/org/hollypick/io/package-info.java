/**
 * The network layer of a controller: HTTP server and client, the event loop on which they run, and the encoding of
 * messages. A connection budget divides the sockets of the process among the kinds of traffic. All code here is
 * confined to the event loop unless its documentation says otherwise.
 */
package org.hollypick.io;
