/**
 * Client of the cloud provider's API: lists machine types and machines, and requests and terminates machines. The names
 * of that API occur only in {@code CloudCodec}.
 */
package org.hollypick.cloud;
