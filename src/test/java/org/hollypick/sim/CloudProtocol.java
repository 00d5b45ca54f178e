package org.hollypick.sim;

/** Paths and fields of the cloud provider's protocol, defined independently of the program's codecs. */
final class CloudProtocol {
    static final String MACHINE_TYPES = "/machine_types";
    static final String MACHINES = "/hosts";
    static final String TERMINATE = "/hosts/return";

    /** Identifies a request to create machines, which makes its repetition idempotent. */
    static final String REQUEST_ID = "hire";

    static final String MACHINE_ID = "name_id";
    static final String MACHINE_IDS = "bothies";
    static final String COUNT = "number";
    static final String ADDRESS = "addr";
    static final String MACHINE_TYPE = "flavour";
    static final String TYPES = "flavours";
    static final String ZONE = "hall";
    static final String ZONES = "halls";
    static final String SPOT = "lendable";
    static final String STATUS = "status";
    static final String AGE_S = "age_s";

    private CloudProtocol() {}
}
