/**
 * Stored form of jobs, graphs, graph logs and machines: codecs between the program's types and the JSON records of the
 * key-value store. The field names belong to the stored format, and some of them to the users' protocol too, so they
 * stay as they are, whatever the Java names around them.
 */
package org.hollypick.records;
